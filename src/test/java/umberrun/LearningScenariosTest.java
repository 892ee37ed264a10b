package umberrun;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.junit.Test;
import picocli.CommandLine;
import umberrun.cli.Commands;
import umberrun.config.Config;
import umberrun.config.Config.InvalidConfig;
import umberrun.stats.Counters.Count;

/** Tests what a new front end learns from running ones, and that faulty peers do no harm. */
public class LearningScenariosTest {

  /**
   * Starts a front end that serves facts and has served some calls; further front ends start beside
   * it.
   */
  private static Scenario experienced(String... workers) throws Exception {
    Scenario scenario = Scenario.of(workers);
    // It has no peers.
    scenario.startWithFactPeers();
    for (String w : workers) {
      scenario.worker(w).answersAll = true;
    }
    for (int i = 1; i <= 20; i++) {
      scenario.play("c-first send " + i + " date-lookup\nc-first expect [1," + i);
    }
    return scenario;
  }

  private static String factAddress(Server server) {
    return "127.0.0.1:" + server.factPort();
  }

  @Test
  public void aNewFrontEndLearnsAndPassesOnReceivedFacts() throws Exception {
    try (Scenario scenario = experienced("w1", "w2", "w3")) {
      Server first = scenario.server;
      scenario.startWithFactPeers(factAddress(first));
      assertTrue(scenario.server.counters().get(Count.FACTS_USED) >= 3);
      scenario.play("c1 send 1 date-lookup\nc1 expect [1,1");
      Server second = scenario.server;
      // Two peers send the same facts with different ages.
      scenario.startWithFactPeers(factAddress(second), factAddress(first));
      assertTrue(scenario.server.counters().get(Count.FACTS_USED) >= 3);
    }
  }

  /** Facts that the peer observes after its first answer must be fetched as well. */
  @Test
  public void newFactsOfThePeerAreFetchedLater() throws Exception {
    try (Scenario scenario = experienced("w1", "w2")) {
      Server first = scenario.server;
      scenario.startWithFactPeers(factAddress(first));
      long before = scenario.server.counters().get(Count.FACTS_USED);
      Server second = scenario.server;
      scenario.server = first;
      // A function that was unknown so far.
      scenario.play("c9 send 9 date-lookup obj=00000000000000aa\nc9 expect [1,9");
      scenario.server = second;
      scenario.await(Count.FACTS_USED, before);
    }
  }

  /**
   * Facts about workers that are not listed yet must be kept, and used for those workers only that
   * the list then contains.
   */
  @Test
  public void factsThatArriveBeforeTheWorkerListAreKept() throws Exception {
    String page =
        "{\"v\":1,\"epoch\":\"e\",\"uptime_ms\":99999,\"next\":-1,\"facts\":[[1,\"w8\",\"0\",5,\"o\",1,0,0,0],"
            + "[1,\"w9\",\"0\",5,\"o\",1,0,0,0]]}";
    try (ServerSocket peer =
            faultyPeer(
                "HTTP/1.1 200 OK|Content-Length: " + page.length() + "||" + page,
                false,
                new CountDownLatch(1));
        Scenario scenario = Scenario.of("w1")) {
      scenario.startWithFactPeers("127.0.0.1:" + peer.getLocalPort());
      assertEquals(0, scenario.server.counters().get(Count.FACTS_USED));
      scenario.addWorkerAndAwait("w8");
      scenario.await(Count.FACTS_USED, 0);
      assertEquals(1, scenario.server.counters().get(Count.FACTS_USED));
    }
  }

  /** A fact that is older than a drain must not bring the worker back: the own list decides. */
  @Test
  public void aDrainedWorkerIsNotBroughtBackByFacts() throws Exception {
    try (Scenario scenario = experienced("w1", "w2")) {
      Server first = scenario.server;
      scenario.updateWorker("w1", "terminating");
      scenario.worker("w1").commands.clear();
      scenario.startWithFactPeers(factAddress(first));
      for (int i = 1; i <= 12; i++) {
        scenario.play("c1 send 5" + i + " date-lookup\nc1 expect [1,5" + i);
      }
      scenario.play("w1 wait 1");
    }
  }

  /** The server of facts must keep to its budget and reject unknown versions and paths. */
  @Test
  public void theFactServerKeepsToItsBudget() throws Exception {
    try (Scenario scenario = experienced("w1")) {
      int port = scenario.server.factPort();
      assertTrue(scenario.get(port, "/v1/knowledge?v=2").startsWith("400"));
      assertTrue(scenario.get(port, "/v1/knowledge?v=1&from=x").startsWith("400"));
      assertTrue(scenario.get(port, "/v1/other").startsWith("404"));
      String answer = scenario.get(port, "/v1/knowledge?v=1&new=field");
      assertTrue(answer, answer.startsWith("200") && answer.contains("\"facts\":[["));
      assertTrue(scenario.get(port, "/v1/knowledge?v=1&within_ms=0").contains("\"facts\":[]"));
      for (int i = 0; !answer.startsWith("503"); i++) {
        assertTrue("never refused", i < 200);
        answer = scenario.get(port, "/v1/knowledge?v=1");
      }
      assertTrue(answer, answer.matches("(?s)503 \\d+ .*"));
      scenario.play("c-first send 90 date-lookup\nc-first expect [1,90");
    }
  }

  /**
   * Starts a faulty peer.
   *
   * @param answer what it sends after a request, with | for a line break; if it ends with
   *     "endless", the peer goes on sending
   * @param closes whether it closes the connection after the answer
   * @param requests counted down with each request
   */
  private static ServerSocket faultyPeer(String answer, boolean closes, CountDownLatch requests)
      throws IOException {
    ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    // Without a reference, a socket would be closed by the garbage collector.
    List<Socket> sockets = new ArrayList<>();
    Thread thread =
        new Thread(
            () -> {
              try {
                while (true) {
                  Socket socket = listener.accept();
                  sockets.add(socket);
                  socket.getInputStream().read();
                  requests.countDown();
                  OutputStream out = socket.getOutputStream();
                  out.write(answer.replace("|", "\r\n").getBytes(StandardCharsets.ISO_8859_1));
                  while (answer.endsWith("endless")) {
                    out.write(new byte[8_192]);
                  }
                  if (closes) {
                    socket.close();
                  }
                }
              } catch (IOException e) {
                // The client has closed the connection, or the test is over.
              }
            });
    thread.setDaemon(true);
    thread.start();
    return listener;
  }

  /**
   * Peers that are silent or slow, or that send truncated, endless or invalid answers or another
   * version, must not delay the start.
   */
  @Test
  public void faultyPeersDoNotDelayTheStart() throws Exception {
    String head = "HTTP/1.1 200 OK|Content-Length: 100000||";
    CountDownLatch requests = new CountDownLatch(6);
    List<ServerSocket> peers =
        List.of(
            faultyPeer("", false, requests),
            faultyPeer(head + "{\"v\":1,", true, requests),
            faultyPeer(head + "{\"v\":1,", false, requests),
            faultyPeer(
                "HTTP/1.1 200 OK|Transfer-Encoding: chunked||fffffff|endless", false, requests),
            faultyPeer("HTTP/1.1 200 OK|Content-Length: 7||{\"v\":2}", false, requests),
            faultyPeer("garbage||", true, requests));
    try (Scenario scenario = Scenario.of("w1")) {
      scenario.worker("w1").answersAll = true;
      scenario.startWithFactPeers(
          peers.stream().map(p -> "127.0.0.1:" + p.getLocalPort()).toArray(String[]::new));
      scenario.play("c1 send 1 date-lookup\nc1 expect [1,1,null");
      assertEquals(0, scenario.server.counters().get(Count.FACTS_USED));
      assertTrue("at least three were asked", requests.getCount() <= 3);
    } finally {
      for (ServerSocket peer : peers) {
        peer.close();
      }
    }
  }

  /**
   * Facts about unlisted workers, from the future, with invalid numbers or too old must not be
   * used.
   */
  @Test
  public void invalidFactsOfAPeerAreNotUsed() throws Exception {
    String page =
        "{\"v\":1,\"epoch\":\"e\",\"uptime_ms\":99999,\"next\":-1,\"facts\":[[0,\"no-such\",\"7\",5,\"o\",1,2,3,4],"
            + "[1,\"w1\",\"0\",-5,\"o\",1,0,0,0],[1,\"w1\",\"0\",5,\"o\",\"NaN\",0,0,0],[1,\"w1\",\"0\",99999999,\"o\",1,0,0,0]]}";
    try (ServerSocket peer =
            faultyPeer(
                "HTTP/1.1 200 OK|Content-Length: " + page.length() + "||" + page,
                false,
                new CountDownLatch(1));
        Scenario scenario = Scenario.of("w1")) {
      scenario.startWithFactPeers("127.0.0.1:" + peer.getLocalPort());
      assertEquals(1, scenario.server.counters().get(Count.PAGES_USED));
      assertEquals(0, scenario.server.counters().get(Count.FACTS_USED));
    }
  }

  /**
   * The command "knowledge" shows the facts of a front end with their origin and age. A wrong
   * address or command ends with an exit status, not with an exception.
   */
  @Test
  public void operatorsCanListTheFactsOfAFrontEnd() throws Exception {
    try (Scenario scenario = experienced("w1")) {
      StringWriter out = new StringWriter();
      assertEquals(0, command(out, "knowledge", factAddress(scenario.server), "--worker", "w1"));
      assertTrue(
          out.toString(),
          out.toString()
              .matches(
                  "(?s)instance \\S+, up for \\d+ ms, \\d+ facts.*"
                      + "(copy|worker) +w1 .* ms ago, seen by .*"));
      assertEquals(1, command(out, "knowledge", "127.0.0.1:1"));
      assertEquals(2, command(out, "no-such-command"));
      assertEquals(2, command(out));
    }
  }

  private static int command(StringWriter out, String... args) {
    return new CommandLine(new Commands())
        .setOut(new PrintWriter(out))
        .setErr(new PrintWriter(out))
        .execute(args);
  }

  @Test
  public void invalidSettingsAreRejectedByName() throws Exception {
    for (Map.Entry<String, String> invalid :
        Map.of(
                "{\"peers\":[]}",
                "learning.listen",
                "{\"listen\":\"127.0.0.1:1\"," + "\"peers\":[\"nowhere\"]}",
                "learning.peers",
                "{\"listen\":\"127.0.0.1:1\",\"peers\":7}",
                "learning.peers",
                "{\"listen\":\"127.0.0.1:1\",\"deadline_ms\":-1}",
                "deadline_ms")
            .entrySet()) {
      Path file =
          Files.writeString(
              Files.createTempFile("operator", ".json"), "{\"learning\":" + invalid.getKey() + "}");
      String message =
          assertThrows(
                  InvalidConfig.class,
                  () ->
                      Config.read(
                          Map.of(
                              "EDGE_CONFIG",
                              "examples/config.json",
                              "UMBERRUN_OPERATOR",
                              file.toString())))
              .getMessage();
      assertTrue(message, message.contains(invalid.getValue()));
      assertFalse(message, message.contains("\n"));
    }
  }
}
