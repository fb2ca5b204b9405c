package fleetconfig

// The generated code is committed. Regenerating it requires protoc and protoc-gen-go v1.36.12.
//go:generate protoc --go_out=fleetconfigpb --go_opt=paths=source_relative --proto_path=fleetconfigpb fleetconfig.proto
