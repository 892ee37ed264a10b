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

/** What a new instance learns from running ones, and what peers can't do to it. */
public class LearningScenariosTest {

  /**
   * An instance with a listener for peers that has served some calls; the next ones start beside
   * it.
   */
  private static Scenario experienced(String... workers) throws Exception {
    Scenario s = Scenario.of(workers);
    s.learn(); // it has nobody to ask
    for (String w : workers) {
      s.worker(w).answersAll = true;
    }
    for (int i = 1; i <= 20; i++) {
      s.play("c-first send " + i + " date-lookup\nc-first expect [1," + i);
    }
    return s;
  }

  private static String peer(Server server) {
    return "127.0.0.1:" + server.peerPort();
  }

  @Test
  public void aNewInstanceLearnsAndPassesOnWhatItHeard() throws Exception {
    try (Scenario s = experienced("w1", "w2", "w3")) {
      Server first = s.server;
      s.learn(peer(first));
      assertTrue(s.server.counters().get(Count.FACTS_USED) >= 3);
      s.play("c1 send 1 date-lookup\nc1 expect [1,1");
      Server second = s.server;
      s.learn(peer(second), peer(first)); // two peers that tell the same with other ages
      assertTrue(s.server.counters().get(Count.FACTS_USED) >= 3);
    }
  }

  /** What the peer sees after the first answer is asked for as well. */
  @Test
  public void whatIsNewAtThePeerFollows() throws Exception {
    try (Scenario s = experienced("w1", "w2")) {
      Server first = s.server;
      s.learn(peer(first));
      long before = s.server.counters().get(Count.FACTS_USED);
      Server second = s.server;
      s.server = first;
      s.play("c9 send 9 date-lookup obj=00000000000000aa\nc9 expect [1,9"); // a function of which
      // nobody knew
      s.server = second;
      s.await(Count.FACTS_USED, before);
    }
  }

  /**
   * A list that comes after the facts finds them waiting, and still says who may be believed in.
   */
  @Test
  public void factsThatComeBeforeTheListWaitForIt() throws Exception {
    String page =
        "{\"v\":1,\"epoch\":\"e\",\"uptime_ms\":99999,\"next\":-1,\"facts\":[[1,\"w8\",\"0\",5,\"o\",1,0,0,0],"
            + "[1,\"w9\",\"0\",5,\"o\",1,0,0,0]]}";
    try (ServerSocket p =
            peer(
                "HTTP/1.1 200 OK|Content-Length: " + page.length() + "||" + page,
                false,
                new CountDownLatch(1));
        Scenario s = Scenario.of("w1")) {
      s.learn("127.0.0.1:" + p.getLocalPort());
      assertEquals(0, s.server.counters().get(Count.FACTS_USED));
      s.join("w8");
      s.await(Count.FACTS_USED, 0);
      assertEquals(1, s.server.counters().get(Count.FACTS_USED));
    }
  }

  /** Facts older than a drain revive nobody: the own list wins. */
  @Test
  public void aDrainedWorkerIsNotRevivedByHearsay() throws Exception {
    try (Scenario s = experienced("w1", "w2")) {
      Server first = s.server;
      s.tell("w1", "terminating");
      s.worker("w1").commands.clear();
      s.learn(peer(first));
      for (int i = 1; i <= 12; i++) {
        s.play("c1 send 5" + i + " date-lookup\nc1 expect [1,5" + i);
      }
      s.play("w1 wait 1");
    }
  }

  /** Answering others stays within its budget, and what is not spoken is refused. */
  @Test
  public void theAnsweringSideKeepsToItsBudget() throws Exception {
    try (Scenario s = experienced("w1")) {
      int port = s.server.peerPort();
      assertTrue(s.get(port, "/v1/knowledge?v=2").startsWith("400"));
      assertTrue(s.get(port, "/v1/knowledge?v=1&from=x").startsWith("400"));
      assertTrue(s.get(port, "/v1/other").startsWith("404"));
      String answer = s.get(port, "/v1/knowledge?v=1&new=field");
      assertTrue(answer, answer.startsWith("200") && answer.contains("\"facts\":[["));
      assertTrue(s.get(port, "/v1/knowledge?v=1&within_ms=0").contains("\"facts\":[]"));
      for (int i = 0; !answer.startsWith("503"); i++) {
        assertTrue("never refused", i < 200);
        answer = s.get(port, "/v1/knowledge?v=1");
      }
      assertTrue(answer, answer.matches("(?s)503 \\d+ .*"));
      s.play("c-first send 90 date-lookup\nc-first expect [1,90");
    }
  }

  /**
   * A stand-in for a peer that goes wrong: what it writes once it was asked, and whether it then
   * closes.
   */
  private static ServerSocket peer(String answer, boolean closes, CountDownLatch asked)
      throws IOException {
    ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    List<Socket> held = new ArrayList<>(); // one that nobody holds is closed with the garbage
    Thread t =
        new Thread(
            () -> {
              try {
                while (true) {
                  Socket socket = listener.accept();
                  held.add(socket);
                  socket.getInputStream().read();
                  asked.countDown();
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
                // the other side has had enough, or the test is over
              }
            });
    t.setDaemon(true);
    t.start();
    return listener;
  }

  /** Silent, slow, torn, endless, lying and of another form: the start goes on without them. */
  @Test
  public void peersThatGoWrongDelayNobody() throws Exception {
    String head = "HTTP/1.1 200 OK|Content-Length: 100000||";
    CountDownLatch asked = new CountDownLatch(6);
    List<ServerSocket> peers =
        List.of(
            peer("", false, asked),
            peer(head + "{\"v\":1,", true, asked),
            peer(head + "{\"v\":1,", false, asked),
            peer("HTTP/1.1 200 OK|Transfer-Encoding: chunked||fffffff|endless", false, asked),
            peer("HTTP/1.1 200 OK|Content-Length: 7||{\"v\":2}", false, asked),
            peer("garbage||", true, asked));
    try (Scenario s = Scenario.of("w1")) {
      s.worker("w1").answersAll = true;
      s.learn(peers.stream().map(p -> "127.0.0.1:" + p.getLocalPort()).toArray(String[]::new));
      s.play("c1 send 1 date-lookup\nc1 expect [1,1,null");
      assertEquals(0, s.server.counters().get(Count.FACTS_USED));
      assertTrue("at least three were asked", asked.getCount() <= 3);
    } finally {
      for (ServerSocket p : peers) {
        p.close();
      }
    }
  }

  /**
   * A peer that lies of workers nobody listed, of times to come and with nonsense is not believed.
   */
  @Test
  public void aLyingPeerIsNotBelieved() throws Exception {
    String page =
        "{\"v\":1,\"epoch\":\"e\",\"uptime_ms\":99999,\"next\":-1,\"facts\":[[0,\"no-such\",\"7\",5,\"o\",1,2,3,4],"
            + "[1,\"w1\",\"0\",-5,\"o\",1,0,0,0],[1,\"w1\",\"0\",5,\"o\",\"NaN\",0,0,0],[1,\"w1\",\"0\",99999999,\"o\",1,0,0,0]]}";
    try (ServerSocket p =
            peer(
                "HTTP/1.1 200 OK|Content-Length: " + page.length() + "||" + page,
                false,
                new CountDownLatch(1));
        Scenario s = Scenario.of("w1")) {
      s.learn("127.0.0.1:" + p.getLocalPort());
      assertEquals(1, s.server.counters().get(Count.PAGES_USED));
      assertEquals(0, s.server.counters().get(Count.FACTS_USED));
    }
  }

  /**
   * From a shell: what an instance believes, where from, how old; a wrong address or command is
   * said, not thrown.
   */
  @Test
  public void operatorsSeeWhatAnInstanceBelieves() throws Exception {
    try (Scenario s = experienced("w1")) {
      StringWriter out = new StringWriter();
      assertEquals(0, command(out, "knowledge", peer(s.server), "--worker", "w1"));
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
  public void badSettingsAreRefusedByName() throws Exception {
    for (Map.Entry<String, String> bad :
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
              Files.createTempFile("operator", ".json"), "{\"learning\":" + bad.getKey() + "}");
      String said =
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
      assertTrue(said, said.contains(bad.getValue()));
      assertFalse(said, said.contains("\n"));
    }
  }
}
