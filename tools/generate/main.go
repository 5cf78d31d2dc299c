// Command generate generates gen/ from the files in proto/. Run it only when a
// file in proto/ changes; the build uses the committed result.
//
// Usage, from the tools folder: go run ./generate ../proto ..
package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"log"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/pluginpb"
)

// pluginParameter makes the plugins write to paths without the module path.
const pluginParameter = "module=github.com/trefoilkeel/trefoilkeel"

// plugins are code generators, each a Go tool dependency of this module.
var plugins = []string{
	"google.golang.org/protobuf/cmd/protoc-gen-go",
	"connectrpc.com/connect/cmd/protoc-gen-connect-go",
}

func main() {
	protoDir, outDir := os.Args[1], os.Args[2]
	files, err := findProtoFiles(protoDir)
	if err != nil {
		log.Fatal(err)
	}
	request, err := buildRequest(protoDir, files)
	if err != nil {
		log.Fatal(err)
	}
	for _, plugin := range plugins {
		if err := runPlugin(plugin, request, outDir); err != nil {
			log.Fatal(err)
		}
	}
	if err := writeChecksums(protoDir, outDir, files); err != nil {
		log.Fatal(err)
	}
}

// checksumsFile lists the checksums of the files that gen/ was generated from, in
// the format of sha256sum. CI uses it to see whether gen/ is up to date without
// running the generators.
const checksumsFile = "gen/proto.sha256"

// writeChecksums writes checksumsFile.
func writeChecksums(protoDir, outDir string, files []string) error {
	var checksums bytes.Buffer
	for _, file := range files {
		data, err := os.ReadFile(filepath.Join(protoDir, file))
		if err != nil {
			return err
		}
		fmt.Fprintf(&checksums, "%x  proto/%s\n", sha256.Sum256(data), file)
	}
	return os.WriteFile(filepath.Join(outDir, checksumsFile), checksums.Bytes(), 0o644)
}

// findProtoFiles returns the paths of the proto files relative to dir.
func findProtoFiles(dir string) ([]string, error) {
	matches, err := filepath.Glob(filepath.Join(dir, "trefoilkeel", "v1", "*.proto"))
	if err != nil {
		return nil, err
	}
	for i := range matches {
		matches[i], err = filepath.Rel(dir, matches[i])
		if err != nil {
			return nil, err
		}
	}
	return matches, nil
}

// buildRequest compiles the proto files into the request for the plugins.
func buildRequest(dir string, files []string) (*pluginpb.CodeGeneratorRequest, error) {
	compiler := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{dir}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	descriptors, err := compiler.Compile(context.Background(), files...)
	if err != nil {
		return nil, err
	}
	request := &pluginpb.CodeGeneratorRequest{
		FileToGenerate: files,
		Parameter:      proto.String(pluginParameter),
	}
	added := map[string]bool{}
	var addWithImports func(fd protoreflect.FileDescriptor)
	addWithImports = func(fd protoreflect.FileDescriptor) {
		if added[fd.Path()] {
			return
		}
		added[fd.Path()] = true
		imports := fd.Imports()
		for i := range imports.Len() {
			addWithImports(imports.Get(i).FileDescriptor)
		}
		request.ProtoFile = append(request.ProtoFile, protodesc.ToFileDescriptorProto(fd))
	}
	for _, fd := range descriptors {
		addWithImports(fd)
	}
	return request, nil
}

// runPlugin passes the request to one plugin on standard input and writes the
// files of its response.
func runPlugin(plugin string, request *pluginpb.CodeGeneratorRequest, outDir string) error {
	input, err := proto.Marshal(request)
	if err != nil {
		return err
	}
	cmd := exec.Command("go", "tool", plugin)
	cmd.Stdin = bytes.NewReader(input)
	cmd.Stderr = os.Stderr
	output, err := cmd.Output()
	if err != nil {
		return err
	}
	response := &pluginpb.CodeGeneratorResponse{}
	if err := proto.Unmarshal(output, response); err != nil {
		return err
	}
	for _, file := range response.File {
		path := filepath.Join(outDir, file.GetName())
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(path, []byte(file.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
