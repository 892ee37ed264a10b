import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A few bad clients ask for functions that no host knows, at full speed, beside usual clients. The
 * process must not crash.
 */
final class Case6 {
  private static final int WORKERS = 16;
  private static final int OPEN = 32;
  private static final int SECONDS = 100;

  /** Bad clients that ask for ids that no host knows, with little time left. */
  private static final int UNKNOWN_ID_CLIENTS = 10;

  /** Bad clients that send hundreds of requests at once, every so often. */
  private static final int BURST_CLIENTS = 40;

  private static final int BURST_PAUSE_MILLIS = 2_000;
  private static final int USUAL_CLIENTS = 34;
  private static final int USUAL_PAUSE_MILLIS = 200;
  private static final int BUDGET_MILLIS = 4_000;
  private static final int LONG_ANSWER = 230_000;
  private static final AtomicLong LAST_RID = new AtomicLong(0x100000000L);
  private static final AtomicLong RUNS = new AtomicLong();
  private static final AtomicLong ASKED = new AtomicLong();
  private static final AtomicInteger CRASHED_OPEN = new AtomicInteger();
  private static final AtomicBoolean END = new AtomicBoolean();

  public static void main(String[] args) throws Exception {
    Rig.main(args[0], Case6::play);
  }

  private static Map<String, String> fields(String function, int budget) {
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("rid", String.format("%016x", LAST_RID.incrementAndGet()));
    fields.put("budget", Integer.toString(budget));
    fields.put("acct", "central-council");
    fields.put("obj", function);
    fields.put("info", "memory_mb:2100;lanes:8;load_ms:900");
    return fields;
  }

  private static String known() {
    return String.format("%016x", 0x7f3a9c21e0b4d600L + ThreadLocalRandom.current().nextInt(20));
  }

  private static boolean play(Rig rig) throws Exception {
    List<String> endpoints = new ArrayList<>();
    String[] halls = {"hall-a", "hall-b", "hall-c"};
    for (int i = 0; i < WORKERS; i++) {
      Rig.Worker worker = rig.new Worker(String.format("s-000000%02x", i));
      worker.behaviour =
          call -> {
            RUNS.incrementAndGet();
            if (!call.fields.get("asset").startsWith("7f3a9c21e0b4d6")) {
              // To what they can't use, hosts answer 'error'.
              call.answer("500", "-", Rig.bytes(""));
            } else {
              // One answer in sixteen is long.
              boolean isLong = ThreadLocalRandom.current().nextInt(16) == 0;
              call.answer("200", "n=w,depth=0", new byte[isLong ? LONG_ANSWER : 200]);
            }
          };
      endpoints.add(Rig.endpoint(worker, halls[i % 3], 0, "in_service", 0));
    }
    Rig.ChangeLog changeLog = rig.new ChangeLog(endpoints);
    Rig.FrontEnd frontEnd =
        rig.new FrontEnd(
            "n1",
            Rig.settings(Rig.DATE_LOOKUP + "," + Rig.SLOT_CHANGE, Rig.COUNCIL, Rig.HALLS, 1),
            changeLog.address(),
            changeLog.known(0),
            null);
    Rig.FrontEndProcess process = frontEnd.start().awaitReady();
    Map<String, Integer> usual = new ConcurrentHashMap<>();
    Map<String, Integer> unknown = new ConcurrentHashMap<>();
    Map<String, Integer> bursts = new ConcurrentHashMap<>();
    for (int i = 0; i < USUAL_CLIENTS; i++) {
      Rig.go(() -> client(rig, frontEnd, process, usual, 1, USUAL_PAUSE_MILLIS, false, 200));
    }
    if (Rig.TROUBLE) {
      for (int i = 0; i < UNKNOWN_ID_CLIENTS; i++) {
        Rig.go(() -> client(rig, frontEnd, process, unknown, OPEN, 0, true, 16));
      }
      for (int i = 0; i < BURST_CLIENTS; i++) {
        Rig.go(
            () -> client(rig, frontEnd, process, bursts, OPEN, BURST_PAUSE_MILLIS, false, 16_000));
      }
    }
    long end = rig.now() + SECONDS * 1_000L;
    while (rig.now() < end && process.process.isAlive()) {
      Rig.sleep(Math.min(5_000, end - rig.now()));
      rig.note(
          "resident "
              + resident(process)
              + " kB; usual calls "
              + usual
              + "; calls for unknown ids "
              + unknown
              + "; calls in bursts "
              + bursts
              + "; runs at hosts "
              + RUNS.getAndSet(0));
      usual.clear();
      unknown.clear();
      bursts.clear();
    }
    boolean alive = process.process.isAlive();
    END.set(true);
    Rig.sleep(500);
    rig.note("distinct unknown ids asked for: " + ASKED);
    if (!alive) {
      rig.note(
          "the process has ended with status "
              + process.process.exitValue()
              + "; calls of usual clients that were open then and got no answer: "
              + CRASHED_OPEN);
    }
    String log = process.log();
    rig.note("last line of its log: " + log.substring(log.trim().lastIndexOf('\n') + 1).trim());
    rig.detail("log of the process:\n" + log);
    return !alive;
  }

  private static String resident(Rig.FrontEndProcess process) {
    try {
      for (String line :
          Files.readAllLines(Path.of("/proc/" + process.process.pid() + "/status"))) {
        if (line.startsWith("VmRSS")) {
          return line.replaceAll("[^0-9]", "");
        }
      }
    } catch (IOException e) {
      // it has ended
    }
    return "-";
  }

  /** A client that sends so many calls at once, reads the answers, waits and begins again. */
  private static void client(
      Rig rig,
      Rig.FrontEnd frontEnd,
      Rig.FrontEndProcess process,
      Map<String, Integer> outcomes,
      int atOnce,
      int pauseMillis,
      boolean unknownIds,
      int bodyBytes) {
    Random random = new Random(LAST_RID.incrementAndGet());
    boolean isUsual = outcomes != null && atOnce == 1;
    while (!END.get() && process.process.isAlive()) {
      try (Rig.RpcClient client = rig.new RpcClient(frontEnd.rpcPort)) {
        while (!END.get() && client.endedAt < 0) {
          List<CompletableFuture<Rig.Answer>> answers = new ArrayList<>();
          for (int i = 0; i < atOnce; i++) {
            String function = known();
            if (unknownIds) {
              ASKED.incrementAndGet();
              function = String.format("%016x", random.nextLong() >>> 4);
            }
            Map<String, String> fields = fields(function, unknownIds ? 60 : BUDGET_MILLIS);
            CompletableFuture<Rig.Answer> sent =
                client.call("date-lookup", fields, new byte[bodyBytes]);
            answers.add(sent);
            // The others are too many for a line each; their outcomes are counted.
            if (isUsual) {
              String rid = fields.get("rid");
              rig.detail("sent  " + rid + " by a usual client");
              sent.whenComplete(
                  (a, e) -> rig.detail("answer to " + rid + ": " + (a == null ? "none, " + e : a)));
            }
          }
          for (CompletableFuture<Rig.Answer> answer : answers) {
            String outcome = Rig.outcome(answer, BUDGET_MILLIS + 1_000);
            outcomes.merge(outcome, 1, Integer::sum);
            if (isUsual && outcome.startsWith("no answer") && !END.get()) {
              CRASHED_OPEN.incrementAndGet();
            }
          }
          Rig.sleep(pauseMillis);
        }
      } catch (IOException e) {
        try {
          Rig.sleep(50);
        } catch (InterruptedException interrupted) {
          return;
        }
      } catch (InterruptedException e) {
        return;
      }
    }
  }
}
