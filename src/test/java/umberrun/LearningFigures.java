package umberrun;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * Measures the benefit of the exchange of facts; not part of the build. Half of six front ends are
 * killed under load and restarted without their own handover files, once with and once without
 * peers to fetch facts from. There are twelve emulated workers, of which one fails 60 % of its
 * calls and one drains before the restart.
 *
 * <p>Argument: the number of seeds.
 */
public final class LearningFigures {
  private static final int FRONT_ENDS = 6;
  private static final int WORKERS = 12;
  private static final long WARM_UP_MILLIS = 8_000;
  private static final long MEASURE_MILLIS = 8_000;
  private static final int FAILING_WORKER = 3;
  private static final int DRAINED_WORKER = 7;
  private static final long SLOT_MILLIS = 500;
  private static final int[] RESTARTED_FRONT_ENDS = {1, 3, 5};

  /**
   * An answer of a restarted front end.
   *
   * @param afterMillis time from the readiness of the front end to the answer
   * @param micros latency of the call
   * @param served whether the call was served
   */
  private record Answer(long afterMillis, long micros, boolean served) {}

  private LearningFigures() {}

  public static void main(String[] args) throws Exception {
    for (int seed = 1; seed <= Integer.parseInt(args[0]); seed++) {
      for (boolean learns :
          seed % 2 == 0 ? new boolean[] {true, false} : new boolean[] {false, true}) {
        measure(seed, learns);
      }
    }
    System.exit(0);
  }

  /** Runs one measurement and prints its results. */
  private static void measure(long seed, boolean learns) throws Exception {
    int[] ports = new int[FRONT_ENDS];
    for (int i = 0; i < FRONT_ENDS; i++) {
      ports[i] = Processes.freePort();
    }
    try (Processes processes =
        new Processes(
            FRONT_ENDS,
            WORKERS,
            i ->
                new TreeMap<>(
                    learns
                        ? Map.of("learning", learning(ports, i))
                        : Map.of(
                            "learning",
                            new TreeMap<>(Map.of("listen", "127.0.0.1:" + ports[i])))))) {
      List<EmulatedWorker> workers = new ArrayList<>();
      for (int i = 0; i < WORKERS; i++) {
        workers.add(new EmulatedWorker(processes.workers.get(i), seed * 100 + i));
      }
      workers.get(FAILING_WORKER).setFailureShare(0.6);
      processes.pauseMillis = 10;
      processes.functions = 60;
      processes.addClients();
      ConcurrentHistogram latencyBefore = new ConcurrentHistogram(3);
      AtomicInteger goodBefore = new AtomicInteger();
      Thread.sleep(WARM_UP_MILLIS);
      processes.callObserver =
          (n, micros, error) -> {
            latencyBefore.recordValue(micros);
            goodBefore.addAndGet(isGood(micros, error) ? 1 : 0);
          };
      Thread.sleep(3_000);
      double usualShare = (double) goodBefore.get() / latencyBefore.getTotalCount();
      processes.addWorkerEvent(DRAINED_WORKER, "terminating", 0);
      Thread.sleep(1_500);
      int runsBefore = workers.get(DRAINED_WORKER).runs();
      for (int i : RESTARTED_FRONT_ENDS) {
        processes.nodes.get(i).kill();
        deleteHandoverFiles(processes.nodes.get(i).folder);
      }
      ConcurrentLinkedQueue<Answer> answers = new ConcurrentLinkedQueue<>();
      ConcurrentHistogram latencyOfOthers = new ConcurrentHistogram(3);
      long[] readyNanos = new long[FRONT_ENDS];
      int loadsBefore = workers.stream().mapToInt(EmulatedWorker::loads).sum();
      processes.callObserver =
          (n, micros, error) -> {
            if (readyNanos[n.number] > 0) {
              answers.add(
                  new Answer(
                      (System.nanoTime() - readyNanos[n.number]) / 1_000_000,
                      micros,
                      error == null));
            } else if (Arrays.stream(RESTARTED_FRONT_ENDS).noneMatch(i -> i == n.number)) {
              latencyOfOthers.recordValue(micros);
            }
          };
      for (int i : RESTARTED_FRONT_ENDS) {
        processes.nodes.get(i).start();
      }
      for (int i : RESTARTED_FRONT_ENDS) {
        Processes.awaitReady(processes.nodes.get(i).operatorPort);
        readyNanos[i] = System.nanoTime();
      }
      Thread.sleep(MEASURE_MILLIS);
      List<Answer> firstAnswers = answers.stream().filter(a -> a.afterMillis < 3_000).toList();
      System.out.printf(
          "%s seed %d: usual share of good calls %.3f reached after %s ms; first 3 s: %d calls, longer than a load %.4f, not served %.4f; loads %d; "
              + "others' 99th %d us (%d before); pages given %d; sends to the drained worker %d; %s%n",
          learns ? "with facts" : "without facts",
          seed,
          usualShare,
          recoveryMillis(answers, usualShare),
          firstAnswers.size(),
          share(firstAnswers, a -> a.micros > 1_000 * EmulatedWorker.LOAD_MILLIS),
          share(firstAnswers, a -> !a.served),
          workers.stream().mapToInt(EmulatedWorker::loads).sum() - loadsBefore,
          latencyOfOthers.getValueAtPercentile(99),
          latencyBefore.getValueAtPercentile(99),
          pagesGiven(processes),
          workers.get(DRAINED_WORKER).runs() - runsBefore,
          lastFetchLog(processes));
    }
  }

  /** Whether a call was served in less time than a load takes. */
  private static boolean isGood(long micros, String error) {
    return error == null && micros < 1_000 * EmulatedWorker.LOAD_MILLIS;
  }

  private static double share(List<Answer> all, java.util.function.Predicate<Answer> condition) {
    return all.isEmpty() ? 0 : (double) all.stream().filter(condition).count() / all.size();
  }

  /**
   * Returns the start of the first half second in which the share of good calls was at most 0.02
   * below the usual one, in milliseconds after the readiness.
   */
  private static long recoveryMillis(Iterable<Answer> answers, double usualShare) {
    int slots = (int) (MEASURE_MILLIS / SLOT_MILLIS);
    int[] all = new int[slots];
    int[] good = new int[slots];
    for (Answer answer : answers) {
      int slot = (int) Math.min(slots - 1, answer.afterMillis / SLOT_MILLIS);
      all[slot]++;
      good[slot] += answer.served && answer.micros < 1_000 * EmulatedWorker.LOAD_MILLIS ? 1 : 0;
    }
    for (int slot = 0; slot < slots; slot++) {
      if (all[slot] > 0 && (double) good[slot] / all[slot] >= usualShare - 0.02) {
        return slot * SLOT_MILLIS;
      }
    }
    return MEASURE_MILLIS;
  }

  /** Returns the section {@code learning} of the operator's file of one front end. */
  private static Map<String, Object> learning(int[] ports, int self) {
    List<String> peers = new ArrayList<>();
    for (int i = 0; i < ports.length; i++) {
      if (i != self) {
        peers.add("127.0.0.1:" + ports[i]);
      }
    }
    return new TreeMap<>(Map.of("listen", "127.0.0.1:" + ports[self], "peers", peers));
  }

  /** Deletes all files that a process leaves for its successor, but not its configuration. */
  private static void deleteHandoverFiles(Path folder) throws Exception {
    try (var files = Files.walk(folder)) {
      for (Path f :
          files
              .filter(Files::isRegularFile)
              .filter(
                  f ->
                      !f.getFileName().toString().endsWith(".json")
                          || !f.getParent().equals(folder))
              .toList()) {
        Files.delete(f);
      }
    }
  }

  /** Returns how many pages of facts all front ends have served. */
  private static int pagesGiven(Processes processes) throws Exception {
    int given = 0;
    for (Processes.Node n : processes.nodes) {
      int logLength = n.output().length();
      n.signal("USR2");
      Processes.await(
          "no counters", 10, () -> n.output().substring(logLength).contains("counters"));
      String line = n.output().substring(logLength);
      int at = line.indexOf(" pages_given=");
      given += at < 0 ? 0 : Integer.parseInt(line.substring(at + 13).split("[ \\n]")[0]);
    }
    return given;
  }

  /** Returns the last log line of a restarted front end about fetched facts. */
  private static String lastFetchLog(Processes processes) throws Exception {
    String last = "";
    for (String line : processes.nodes.get(RESTARTED_FRONT_ENDS[0]).output().lines().toList()) {
      last = line.contains("facts of use") ? line : last;
    }
    return last;
  }
}
