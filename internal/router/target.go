package router

import (
	"net/http"
	"net/url"
	"strings"
)

// wirePath returns the path exactly as the client sent it.
func wirePath(incoming *http.Request) string {
	path, _, _ := strings.Cut(wireTarget(incoming), "?")
	return path
}

// wireTarget returns the path and the query exactly as the client sent them.
func wireTarget(incoming *http.Request) string {
	if incoming.URL.Scheme == "" || incoming.URL.Host == "" {
		return incoming.RequestURI
	}
	// The absolute form of a target, which also names the host. net/url may encode its path anew.
	_, rest, _ := strings.Cut(incoming.RequestURI, "//")
	start := strings.IndexAny(rest, "/?")
	switch {
	case start < 0:
		return "/"
	case rest[start] == '?':
		return "/" + rest[start:]
	}
	return rest[start:]
}

// workerURL returns the URL for requesting the same path and query from a worker, unchanged byte for byte if relaysUnchanged.
func workerURL(address, target string) *url.URL {
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: target}
	}
	// net/http would send such an Opaque as an absolute form. It sends RawPath if that is an encoding of Path.
	rawPath, query, found := strings.Cut(target, "?")
	path, err := url.PathUnescape(rawPath)
	if err != nil {
		path = rawPath
	}
	return &url.URL{Scheme: "http", Host: address, Path: path, RawPath: rawPath, RawQuery: query, ForceQuery: found && query == ""}
}

// relaysUnchanged reports whether a worker reads the target as the client sent it. net/http encodes a path that begins with two
// slashes once more if it has bytes that RFC 3986 does not allow in a path.
func relaysUnchanged(target string) bool { return workerURL("", target).RequestURI() == target }
