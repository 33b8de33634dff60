package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork"
	"turnfork.dev/turnfork/adminapi"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/config"
	"turnfork.dev/turnfork/internal/hollow"
	"turnfork.dev/turnfork/replica"
)

// fullGatewayVariable is the environment variable that makes the test binary run a full gateway. Its value is the path of
// the operator configuration.
const fullGatewayVariable = "TURNFORK_SCALE_TEST_GATEWAY"

const fullGatewaySecret = "a secret for this test alone"

// serveFullGateway runs a gateway as in production until its standard input is closed, and prints its listen addresses.
func serveFullGateway(file string) error {
	operator, err := config.LoadOperator(file)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		io.Copy(io.Discard, os.Stdin)
		cancel()
	}()
	return turnfork.Run(ctx, turnfork.Config{
		Node: operator.Node(1), Operator: operator, Log: zerolog.Nop(), Clock: clock.System(),
		Ready: func(a turnfork.Addrs) { fmt.Println(a.Signed, a.Admin) },
	})
}

// fullGateway is a gateway as in production, data plane included, in its own process.
type fullGateway struct {
	t                       *testing.T
	command                 *exec.Cmd
	signedAddr, consoleAddr string
}

func startFullGateway(t *testing.T, name string, voters []replica.Member, identity Identity) *fullGateway {
	t.Helper()
	dir := t.TempDir()
	if err := identity.writeFiles(dir); err != nil {
		t.Fatal(err)
	}
	text := fmt.Sprintf("console = \"127.0.0.1:0\"\noperator_secret = %q\n", fullGatewaySecret) +
		hollow.OperatorText(hollow.DefaultEndpoints) + hollow.SubscriptionText(name, voters)
	file := filepath.Join(dir, "operator.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), fullGatewayVariable+"="+file)
	command.Stderr = testLog{t}
	stdin, err := command.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	stdout, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stdin.Close()
		command.Wait()
	})
	g := &fullGateway{t: t, command: command}
	if _, err := fmt.Fscan(stdout, &g.signedAddr, &g.consoleAddr); err != nil {
		t.Fatal("the full gateway printed no listen addresses:", err)
	}
	return g
}

// subscription returns the status of the gateway's subscription, from its console.
func (g *fullGateway) subscription() adminapi.Subscription {
	g.t.Helper()
	resp, err := http.Get("http://" + g.consoleAddr + "/ready")
	if err != nil {
		g.t.Fatal(err)
	}
	defer resp.Body.Close()
	var state adminapi.State
	if err := json.NewDecoder(resp.Body).Decode(&state); err != nil || state.Subscription == nil {
		g.t.Fatalf("the console reports no subscription: %+v, %v", state, err)
	}
	return *state.Subscription
}

// signingKey returns the ID of the key that the gateway signs tokens with.
func (g *fullGateway) signingKey() string {
	g.t.Helper()
	body := strings.NewReader(`{"kind":"hmac","uri":"/v1/firmware/0000000000000001/0","seconds":60}`)
	request, err := http.NewRequest(http.MethodPost, "http://"+g.signedAddr+"/-/tokens", body)
	if err != nil {
		g.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+fullGatewaySecret)
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		g.t.Fatal(err)
	}
	defer resp.Body.Close()
	var issued struct{ Key string }
	if err := json.NewDecoder(resp.Body).Decode(&issued); err != nil {
		g.t.Fatal(err)
	}
	return issued.Key
}
