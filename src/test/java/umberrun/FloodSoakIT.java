package umberrun;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import umberrun.FloodClients.Kind;
import umberrun.Processes.Node;

/**
 * Runs a real process through random floods from a seed: messages of every kind from one connection
 * or a crowd, clients that stop midway or leave, workers that hang, series of signals, restarts and
 * upgrades with the kill at the earliest time, while clients go on using their connections. Usual
 * clients get their answers in time, the process stays within its memory, nothing begins for
 * clients that have gone, and no request that may run once only runs twice.
 *
 * <p>{@code -Dsoak.seeds=1-50} runs these seeds instead of the default one.
 */
public class FloodSoakIT {
  private static final String SEEDS = System.getProperty("soak.seeds", "1-2");
  private static final int WORKERS = 6;
  private static final int USUAL_CLIENTS = 8;
  private static final int REPEATING_CLIENTS = 4;
  private static final int CROWD = 100;
  private static final int BUDGET_MILLIS = 1_500;
  private static final int SLACK_MILLIS = 50;
  private static final long LIMIT_KB = 192 << 10;
  private static final long SOAK_MILLIS = 15_000;

  /** A client may be late for so long after a restart, as its connection was closed. */
  private static final long SETTLE_MILLIS = 500;

  /** The request ids of repeating clients begin here. */
  private static final long FIRST_REPEATED = 0x5000_0000_0000_0000L;

  private static final String SETTINGS = Scenario.SETTINGS.replace("deduplicated", "at_most_once");

  private final Map<Long, AtomicInteger> runs = new ConcurrentHashMap<>();
  private final Queue<String> lateAnswers = new ConcurrentLinkedQueue<>();
  private final List<String> faultLog = new ArrayList<>();
  private volatile boolean finished;

  @Test
  public void everySeedKeepsTheRules() throws Exception {
    String[] range = SEEDS.split("-");
    int last = Integer.parseInt(range[range.length - 1]);
    for (int seed = Integer.parseInt(range[0]); seed <= last; seed++) {
      try {
        play(new Random(seed));
      } catch (Exception | AssertionError e) {
        throw new AssertionError("seed " + seed + " after " + faultLog + ": " + e.getMessage(), e);
      }
    }
  }

  private void play(Random random) throws Exception {
    finished = false;
    runs.clear();
    lateAnswers.clear();
    faultLog.clear();
    boolean crowded = random.nextInt(4) == 0;
    try (Processes fleet = new Processes(1, WORKERS, null, 17_000, SETTINGS)) {
      Node node = fleet.nodes.get(0);
      fleet.workers.forEach(this::recordRuns);
      fleet.budgetMillis = BUDGET_MILLIS;
      fleet.pauseMillis = 50;
      fleet.callObserver = (n, micros, error) -> recordLate(n, micros);
      for (int i = 1; i < USUAL_CLIENTS; i++) {
        fleet.addClients();
      }
      AtomicLong ids = new AtomicLong(FIRST_REPEATED + (random.nextLong() >>> 8));
      for (int i = 0; i < REPEATING_CLIENTS; i++) {
        Random clientRandom = new Random(random.nextLong());
        Scenario.daemon(() -> repeat(node.rpcPort, ids, clientRandom));
      }
      long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SOAK_MILLIS);
      long peak = 0;
      while (System.nanoTime() < end) {
        injectFault(fleet, node, crowded, random);
        assertTrue("the process has ended: " + node.output(), node.process.isAlive());
        peak = Math.max(peak, MessageFloodIT.peakKb(node));
      }
      finished = true;
      int served = fleet.served.get();
      System.err.println("flood soak: " + served + " served, peak " + (peak >> 10) + " MB");
      assertTrue("peak " + peak + " KB", peak < LIMIT_KB);
    } finally {
      finished = true;
    }
    assertEquals("late answers", List.of(), List.copyOf(lateAnswers));
    runs.values().removeIf(count -> count.get() < 2);
    assertEquals("requests that ran twice", Map.of(), runs);
  }

  private void recordLate(Node node, long micros) {
    if (!node.disturbed && micros > 1_000L * (BUDGET_MILLIS + SLACK_MILLIS)) {
      lateAnswers.add(micros / 1_000 + " ms");
    }
  }

  private void injectFault(Processes fleet, Node node, boolean crowded, Random random)
      throws Exception {
    switch (random.nextInt(9)) {
      case 0, 1, 2, 3 -> flood(node, crowded ? CROWD : 1 + random.nextInt(8), random);
      case 4 -> hang(fleet.workers.get(random.nextInt(WORKERS)), node, random);
      case 5 -> {
        faultLog.add("signals");
        for (int i = 2 + random.nextInt(4); i > 0; i--) {
          node.notify(random.nextBoolean() ? "USR2" : "HUP");
          Thread.sleep(random.nextInt(100));
        }
      }
      case 6 -> leaveMidway(node, random);
      case 7 -> {
        faultLog.add("upgraded");
        try (FloodClients flood = new FloodClients(kind(random), node.rpcPort, 2, true)) {
          node.upgradeAndKill();
        }
        settle(node);
      }
      default -> {
        faultLog.add("restarted");
        node.restart();
        settle(node);
      }
    }
    assertEquals("unanswered calls", List.of(), List.copyOf(fleet.faults));
  }

  /** Waits until the clients have connected again; from then on all must be answered. */
  private static void settle(Node node) throws Exception {
    Thread.sleep(SETTLE_MILLIS + BUDGET_MILLIS);
    node.disturbed = false;
  }

  private static Kind kind(Random random) {
    Kind[] kinds = {
      Kind.REVOKED_FUNCTIONS, Kind.NEW_FUNCTIONS, Kind.NEW_CLASSES, Kind.HEARTBEATS, Kind.WITHOUT_ID
    };
    return kinds[random.nextInt(kinds.length)];
  }

  private void flood(Node node, int connections, Random random) throws Exception {
    Kind kind = kind(random);
    boolean reads = random.nextInt(3) > 0;
    faultLog.add(kind + " on " + connections + (reads ? "" : ", unread"));
    try (FloodClients flood = new FloodClients(kind, node.rpcPort, connections, reads)) {
      Thread.sleep(500 + random.nextInt(2_500));
    }
  }

  /** Has a worker answer nothing for a while, beside a flood. */
  private void hang(Scenario.Worker worker, Node node, Random random) throws Exception {
    faultLog.add("worker hangs");
    worker.answersNothing = true;
    try {
      flood(node, 1 + random.nextInt(4), random);
    } finally {
      worker.answersNothing = false;
    }
  }

  /** Has many clients send a part of a message, and leave. */
  private void leaveMidway(Node node, Random random) throws Exception {
    faultLog.add("clients leave midway");
    byte[] batch = FloodClients.batch(kind(random), 1);
    List<Socket> sockets = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      Socket socket = new Socket(InetAddress.getLoopbackAddress(), node.rpcPort);
      sockets.add(socket);
      socket.getOutputStream().write(batch, 0, 1 + random.nextInt(batch.length - 1));
    }
    Thread.sleep(random.nextInt(1_000));
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  /** Sends requests that may run once only, each several times, and leaves in between. */
  private void repeat(int port, AtomicLong ids, Random random) {
    while (!finished) {
      long id = ids.incrementAndGet();
      for (int i = 1 + random.nextInt(3); i >= 0; i--) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
          socket.setSoTimeout(BUDGET_MILLIS);
          OutputStream out = socket.getOutputStream();
          out.write(requestOnce(id));
          if (random.nextBoolean()) {
            socket.getInputStream().read(new byte[1_024]);
          }
          Thread.sleep(random.nextInt(50));
        } catch (IOException e) {
          // The front end is being replaced.
        } catch (InterruptedException e) {
          return;
        }
      }
    }
  }

  private static byte[] requestOnce(long id) throws IOException {
    MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
    Map<String, String> fields =
        Map.of(
            "rid", String.format("%016x", id),
            "token", String.format("%032x", id),
            "budget", Integer.toString(BUDGET_MILLIS),
            "acct", "central-council",
            "obj", "7f3a9c21e0b4d655");
    packer.packArrayHeader(4).packInt(0).packInt(1).packString("slot-change");
    packer.packArrayHeader(2).packMapHeader(fields.size());
    for (Map.Entry<String, String> field : fields.entrySet()) {
      packer.packString(field.getKey()).packString(field.getValue());
    }
    packer.packBinaryHeader(0);
    return packer.toByteArray();
  }

  /** Has a worker answer, and count how often each request that may run once only has run. */
  private void recordRuns(Scenario.Worker worker) {
    MessageFloodIT.answerWithoutRecord(worker);
    var answer = worker.handler;
    worker.handler =
        command -> {
          List<String> words = command.words();
          if (words.get(0).equals("RUN") && words.get(2).startsWith("sort=slot-change")) {
            long id = Long.parseUnsignedLong(words.get(1), 16);
            runs.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
          }
          answer.accept(command);
        };
  }
}
