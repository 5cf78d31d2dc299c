package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"connectrpc.com/connect"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// statusCommand shows the control hosts, the subscribers and the endpoints.
type statusCommand struct {
	controlFlags
}

// Run prints the status reported by the first control host that answers.
func (c *statusCommand) Run(out io.Writer) error {
	var status *pb.StatusResponse
	err := c.callWithFailover(readOnlyCall, func(ctx context.Context, client adminClient) error {
		resp, err := client.Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
		if err == nil {
			status = resp.Msg
		}
		return err
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, status)
	}
	return printStatus(out, status)
}

func printStatus(out io.Writer, s *pb.StatusResponse) error {
	summary := fmt.Sprintf("revision %d, leader %s, term %d, ledger %d entries in %d bytes\n",
		s.GetRevision(), quoteIfEmpty(s.GetLeader()), s.GetTerm(), s.GetLedgerEntries(), s.GetLedgerBytes())
	if err := printLine(out, summary); err != nil {
		return err
	}
	hosts := []string{"CONTROL HOST\tURL\tVOTES\tSYNCED ENTRY"}
	for _, h := range s.GetHosts() {
		hosts = append(hosts, fmt.Sprintf("%d\t%s\t%t\t%d", h.GetId(), h.GetUrl(), h.GetVoter(), h.GetMatchIndex()))
	}
	if err := printTable(out, append(hosts, "")); err != nil {
		return err
	}
	subscribers := []string{"SUBSCRIBER\tKIND\tREVISION\tBEHIND\tSEEN"}
	for _, subscriber := range s.GetSubscribers() {
		behind := max(s.GetRevision(), subscriber.GetRevision()) - subscriber.GetRevision()
		subscribers = append(subscribers, fmt.Sprintf("%s\t%s\t%d\t%d\t%d ms ago",
			subscriber.GetName(), subscriber.GetKind(), subscriber.GetRevision(), behind, subscriber.GetAgeMs()))
	}
	if err := printTable(out, append(subscribers, "")); err != nil {
		return err
	}
	endpoints := []string{"ENDPOINT\tGROUP\tFAILURE DOMAIN\tSTATE\tWAITING\tRUNNING\tMODELS"}
	for _, e := range s.GetEndpoints() {
		endpoints = append(endpoints, formatEndpointRow(e))
	}
	return printTable(out, endpoints)
}

func formatEndpointRow(e *pb.Endpoint) string {
	waiting := uint32(0)
	for _, tier := range e.GetLoad().GetTiers() {
		waiting += tier.GetWaiting()
	}
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%d\t%s", e.GetName(), e.GetGroup(), e.GetFailureDomain(),
		endpointStateName(e.GetState()), waiting, e.GetLoad().GetRunning(), strings.Join(e.GetModels(), ", "))
}

// endpointStateName returns the name of a state in lower case, without the
// prefix of the enum.
func endpointStateName(state pb.EndpointState) string {
	return strings.ToLower(strings.TrimPrefix(state.String(), "ENDPOINT_STATE_"))
}
