package umberrun;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.Test;
import umberrun.Processes.Node;
import umberrun.Scenario.Command;

/** The invoke API while real processes replace each other in unusual ways. */
public class InvokeUpgradeIT {
  private static final String HUNG_KEY = "hung";
  private static final String ANSWERED_KEY = "answered";

  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final List<String> runs = new CopyOnWriteArrayList<>();
  private final int invokePort = freePort();

  public InvokeUpgradeIT() throws IOException {}

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  /** Answers calls, except those with the hung key. */
  private void receive(Command command) {
    if (!command.words().get(0).equals("RUN")) {
      return;
    }
    String fields = command.words().get(2);
    if (fields.contains("op=")) {
      runs.add(fields.replaceAll(".*op=([^,]*).*", "$1"));
    }
    if (!fields.contains(HUNG_KEY)) {
      try {
        Scenario.Worker.answer(command, "200", "n=w", "moved");
      } catch (IOException e) {
        // The front end has closed the connection.
      }
    }
  }

  private HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
    return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  private HttpResponse<String> post(String key, String preference) throws Exception {
    return send(
        request("/v1/functions/7f3a9c21e0b4d655/invocations")
            .header("Invoke-Class", "slot-change")
            .header("Invoke-Tenant", "central-council")
            .header("Idempotency-Key", key)
            .header("Prefer", preference)
            .POST(HttpRequest.BodyPublishers.ofString("body")));
  }

  private HttpResponse<String> get(String location) throws Exception {
    return send(request(location).header("Prefer", "wait=9"));
  }

  private HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + invokePort + path));
  }

  /** Guards against promises that die with a process that is killed while it is replaced. */
  @Test
  public void promisesOutliveAProcessThatIsKilledInItsReplacement() throws Exception {
    Map<String, Object> invoke = Map.of("invoke", Map.of("listen", "127.0.0.1:" + invokePort));
    try (Processes fleet = new Processes(1, 3, n -> invoke)) {
      Node node = fleet.nodes.get(0);
      node.clientsPaused = true;
      node.disturbed = true;
      fleet.workers.forEach(worker -> worker.handler = this::receive);
      String answered = location(post(ANSWERED_KEY, "respond-async"));
      assertEquals("moved", get(answered).body());
      String hung = location(post(HUNG_KEY, "respond-async"));
      Processes.await("the call did not begin", 10, () -> runs.contains(HUNG_KEY));
      Process killed = node.process;
      node.operatorPort = freePort();
      node.start();
      // Not ready yet: it has to learn of the calls from what the killed process left.
      killed.destroyForcibly().waitFor();
      Processes.awaitReady(node.operatorPort);
      assertEquals("moved", get(answered).body());
      assertEquals(502, get(hung).statusCode());
      assertEquals("moved", post(ANSWERED_KEY, "wait=4").body());
      assertEquals(502, post(HUNG_KEY, "wait=4").statusCode());
      assertEquals(List.of(ANSWERED_KEY, HUNG_KEY), runs);
    }
  }

  private static String location(HttpResponse<String> response) {
    assertEquals(202, response.statusCode());
    return response.headers().firstValue("Location").orElseThrow();
  }
}
