// Command losses reads the logs of entries from standard input and says why requests were late,
// refused or failed: by route and reason, by time and by endpoint. With --list it names each of them.
//
// Usage, from the tools folder:
//
//	go run ./losses [--list] [--window SECONDS] < LOG
//
// What precedes the JSON object of a line is ignored, as are other lines.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"log"
	"os"
	"time"
)

// maxLineBytes limits a line of the log.
const maxLineBytes = 1 << 20

func main() {
	log.SetFlags(0)
	list := flag.Bool("list", false, "name each request that was not served in time")
	window := flag.Duration("window", 2*time.Second, "length of the windows of time")
	flag.Parse()
	if *window <= 0 {
		log.Fatal("--window must be positive")
	}
	requests, err := readRequests(os.Stdin)
	if err != nil {
		log.Fatal(err)
	}
	fmt.Print(summarize(requests, *window))
	if *list {
		fmt.Print(listLosses(requests))
	}
}

// readRequests returns the ends of requests in the order of the log.
func readRequests(r io.Reader) ([]request, error) {
	var requests []request
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if ended, ok := decodeRequest(lines.Bytes()); ok {
			requests = append(requests, ended)
		}
	}
	return requests, lines.Err()
}
