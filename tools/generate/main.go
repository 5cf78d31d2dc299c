// Command generate compiles proto/ and writes gen/. It is needed only when a
// file under proto/ changes; the build uses the committed result.
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

// modulePrefix is cut from the output paths of the plugins.
const modulePrefix = "module=github.com/trefoilkeel/trefoilkeel"

// plugins are the generators, each a tool of this module.
var plugins = []string{
	"google.golang.org/protobuf/cmd/protoc-gen-go",
	"connectrpc.com/connect/cmd/protoc-gen-connect-go",
}

func main() {
	protoDir, outDir := os.Args[1], os.Args[2]
	files, err := sources(protoDir)
	if err != nil {
		log.Fatal(err)
	}
	request, err := compile(protoDir, files)
	if err != nil {
		log.Fatal(err)
	}
	for _, plugin := range plugins {
		if err := run(plugin, request, outDir); err != nil {
			log.Fatal(err)
		}
	}
	if err := writeSums(protoDir, outDir, files); err != nil {
		log.Fatal(err)
	}
}

// sumsFile lists the sources that gen/ was made from, in the format of
// sha256sum, so that CI sees without a generator whether gen/ is up to date.
const sumsFile = "gen/proto.sha256"

// writeSums writes the checksums of the sources.
func writeSums(protoDir, outDir string, files []string) error {
	var sums bytes.Buffer
	for _, file := range files {
		data, err := os.ReadFile(filepath.Join(protoDir, file))
		if err != nil {
			return err
		}
		fmt.Fprintf(&sums, "%x  proto/%s\n", sha256.Sum256(data), file)
	}
	return os.WriteFile(filepath.Join(outDir, sumsFile), sums.Bytes(), 0o644)
}

// sources lists the proto files below dir, relative to it.
func sources(dir string) ([]string, error) {
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

// compile builds the request that each plugin reads.
func compile(dir string, files []string) (*pluginpb.CodeGeneratorRequest, error) {
	compiler := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{dir}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	linked, err := compiler.Compile(context.Background(), files...)
	if err != nil {
		return nil, err
	}
	request := &pluginpb.CodeGeneratorRequest{
		FileToGenerate: files,
		Parameter:      proto.String(modulePrefix),
	}
	seen := map[string]bool{}
	var add func(fd protoreflect.FileDescriptor)
	add = func(fd protoreflect.FileDescriptor) {
		if seen[fd.Path()] {
			return
		}
		seen[fd.Path()] = true
		imports := fd.Imports()
		for i := range imports.Len() {
			add(imports.Get(i).FileDescriptor)
		}
		request.ProtoFile = append(request.ProtoFile, protodesc.ToFileDescriptorProto(fd))
	}
	for _, fd := range linked {
		add(fd)
	}
	return request, nil
}

// run feeds the request to one plugin and writes the files it answers with.
func run(plugin string, request *pluginpb.CodeGeneratorRequest, outDir string) error {
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
