package umberrun;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.Test;
import umberrun.FloodClients.Kind;
import umberrun.Processes.Node;

/**
 * Clients that send without waiting, beside usual clients of a real process. Whatever they send and
 * on however many connections, the usual clients get their answers in time, and the process stays
 * within its memory.
 *
 * <p>{@code -Dflood.seconds=12 -Dflood.connections=8,60} plays longer floods.
 */
public class MessageFloodIT {
  private static final int USUAL_CLIENTS = 20;
  private static final int BUDGET_MILLIS = 1_200;

  /** Every time limit of the platform's rules is longer by this on sockets. */
  private static final int SLACK_MILLIS = 50;

  private static final long LIMIT_KB = 192 << 10;
  private static final long FLOOD_MILLIS = 1_000 * Long.getLong("flood.seconds", 4);
  private static final String CONNECTIONS = System.getProperty("flood.connections", "100");

  /** Of the usual calls this share must be served while a flood lasts. */
  private static final double MIN_SERVED_SHARE = 0.9;

  @Test
  public void revokedCallsOfNewFunctionsDelayNobody() throws Exception {
    play(Kind.REVOKED_FUNCTIONS, true);
  }

  @Test
  public void callsOfUnknownClassesDelayNobody() throws Exception {
    play(Kind.NEW_CLASSES, true);
  }

  @Test
  public void heartbeatsDelayNobody() throws Exception {
    play(Kind.HEARTBEATS, true);
  }

  @Test
  public void requestsWithoutIdDelayNobody() throws Exception {
    play(Kind.WITHOUT_ID, true);
  }

  @Test
  public void callsOfNewFunctionsDelayNobody() throws Exception {
    play(Kind.NEW_FUNCTIONS, true);
  }

  /** Guards against answers and input that pile up for clients that do not read. */
  @Test
  public void clientsThatDoNotReadDelayNobody() throws Exception {
    play(Kind.REVOKED_FUNCTIONS, false);
    play(Kind.HEARTBEATS, false);
  }

  @Test
  public void httpRequestsDelayNobody() throws Exception {
    play(Kind.HTTP_NEW_CLASSES, true);
    play(Kind.HTTP_HEALTH, false);
  }

  private static void play(Kind kind, boolean reads) throws Exception {
    for (String connections : CONNECTIONS.split(",")) {
      play(kind, Integer.parseInt(connections), reads);
    }
  }

  private static void play(Kind kind, int connections, boolean reads) throws Exception {
    int invokePort = Processes.freePort();
    Map<String, Object> invoke = Map.of("invoke", Map.of("listen", "127.0.0.1:" + invokePort));
    boolean http = kind == Kind.HTTP_HEALTH || kind == Kind.HTTP_NEW_CLASSES;
    try (Processes fleet = new Processes(1, 8, n -> invoke)) {
      Node node = fleet.nodes.get(0);
      fleet.budgetMillis = BUDGET_MILLIS;
      fleet.pauseMillis = 100;
      for (int i = 1; i < USUAL_CLIENTS; i++) {
        fleet.addClients();
      }
      fleet.workers.forEach(MessageFloodIT::answerWithoutRecord);
      AtomicInteger late = new AtomicInteger();
      AtomicInteger answered = new AtomicInteger();
      AtomicLong longestMicros = new AtomicLong();
      Processes.await("too few calls", 20, () -> fleet.served.get() > 5 * USUAL_CLIENTS);
      fleet.callObserver =
          (n, micros, error) -> {
            answered.incrementAndGet();
            longestMicros.accumulateAndGet(micros, Math::max);
            late.addAndGet(micros > 1_000L * (BUDGET_MILLIS + SLACK_MILLIS) ? 1 : 0);
          };
      int servedBefore = fleet.served.get();
      int sent;
      HttpCaller caller = new HttpCaller(invokePort);
      try (FloodClients flood =
          new FloodClients(kind, http ? invokePort : node.rpcPort, connections, reads)) {
        caller.callFor(FLOOD_MILLIS);
        sent = flood.sent.get();
      }
      int served = fleet.served.get() - servedBefore;
      int answeredMeanwhile = answered.get();
      String result =
          String.format(
              "%s on %d connections: %d sent, usual: %d answered, %d served, %d late, %d ms at most;"
                  + " by HTTP: %d served, %d ms at most; peak %d MB",
              kind,
              connections,
              sent,
              answeredMeanwhile,
              served,
              late.get(),
              longestMicros.get() / 1_000,
              caller.served,
              caller.longestMillis,
              peakKb(node) >> 10);
      System.err.println("flood: " + result);
      if (Boolean.getBoolean("flood.log")) {
        new ProcessBuilder("kill", "-USR2", Long.toString(node.process.pid())).start().waitFor();
        Thread.sleep(500);
        System.err.println(Files.readString(node.log));
      }
      assertTrue("the process has ended: " + result, node.process.isAlive());
      assertEquals(result, 0, late.get());
      assertEquals(result, List.of(), List.copyOf(fleet.faults));
      assertTrue(result, served >= MIN_SERVED_SHARE * answeredMeanwhile);
      assertTrue(result, answeredMeanwhile > USUAL_CLIENTS * FLOOD_MILLIS / BUDGET_MILLIS);
      assertTrue(result, caller.served > FLOOD_MILLIS / BUDGET_MILLIS);
      assertTrue(result, caller.longestMillis <= BUDGET_MILLIS + SLACK_MILLIS);
      assertTrue(result, peakKb(node) < LIMIT_KB);
    }
  }

  /** A usual client of the invoke API: one synchronous call after the other. */
  private static final class HttpCaller {
    private final int port;
    private int served;
    private long longestMillis;

    HttpCaller(int port) {
      this.port = port;
    }

    void callFor(long millis) throws Exception {
      long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
      HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
      HttpRequest request =
          HttpRequest.newBuilder(
                  URI.create(
                      "http://127.0.0.1:" + port + "/v1/functions/7f3a9c21e0b4d655/invocations"))
              .header("Invoke-Class", "date-lookup")
              .header("Invoke-Tenant", "central-council")
              .timeout(Duration.ofMillis(2 * BUDGET_MILLIS))
              .POST(HttpRequest.BodyPublishers.ofString("hi"))
              .build();
      while (System.nanoTime() < end) {
        long sentAt = System.nanoTime();
        int status = client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
        served += status == 200 ? 1 : 0;
        longestMillis =
            Math.max(longestMillis, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt));
        Thread.sleep(50);
      }
    }
  }

  /** Has a worker answer at once; it records no commands, of which a flood brings many. */
  static void answerWithoutRecord(Scenario.Worker worker) {
    worker.handler =
        command -> {
          try {
            switch (command.words().get(0)) {
              case "RUN" -> Scenario.Worker.answer(command, "200", "n=w", command.words().get(3));
              case "HOLD" -> Scenario.Worker.answer(command, "200", "pods=1", "");
              case "INFO", "NOOP" -> Scenario.Worker.answer(command, "alive", "-", "");
              default -> {}
            }
          } catch (IOException e) {
            // The front end has closed the connection.
          }
        };
  }

  /** The largest resident size of the process so far. */
  static long peakKb(Node node) throws IOException {
    return memoryKb(node, "VmHWM:");
  }

  /**
   * A figure of the memory of the process in kilobytes; 0 if the process has ended.
   *
   * @param figure its name in the status file of the system
   */
  static long memoryKb(Node node, String figure) throws IOException {
    try {
      return Files.readAllLines(Path.of("/proc/" + node.process.pid() + "/status")).stream()
          .filter(line -> line.startsWith(figure))
          .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
          .findFirst()
          .orElse(0);
    } catch (java.nio.file.NoSuchFileException e) {
      // The process has ended.
      return 0;
    }
  }
}
