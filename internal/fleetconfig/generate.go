package fleetconfig

// The generated code is committed. To make it anew, protoc and protoc-gen-go v1.36.12 are needed.
//go:generate protoc --go_out=fleetconfigpb --go_opt=paths=source_relative --proto_path=fleetconfigpb fleetconfig.proto
