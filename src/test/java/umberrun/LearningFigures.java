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
 * Figures for docs/learning.md, outside the build: half of six front ends killed under load and
 * started again with nothing of their own, with the exchange and without. Twelve emulated workers,
 * one that fails six calls in ten, one that drains before the restart.
 */
public final class LearningFigures {
  private static final int FRONTS = 6;
  private static final int WORKERS = 12;
  private static final long WARM_MILLIS = 8_000;
  private static final long AFTER_MILLIS = 8_000;
  private static final int BAD = 3;
  private static final int DRAINED = 7;
  private static final int[] RESTARTED = {1, 3, 5};

  /** An answer at a front end that was restarted, by when it came after that one was ready. */
  private record Answer(long afterMillis, long micros, boolean served) {}

  private LearningFigures() {}

  public static void main(String[] args) throws Exception {
    for (int seed = 1; seed <= Integer.parseInt(args[0]); seed++) {
      for (boolean learns :
          seed % 2 == 0 ? new boolean[] {true, false} : new boolean[] {false, true}) {
        play(seed, learns);
      }
    }
    System.exit(0);
  }

  private static void play(long seed, boolean learns) throws Exception {
    int[] ports = new int[FRONTS];
    for (int i = 0; i < FRONTS; i++) {
      ports[i] = Processes.freePort();
    }
    try (Processes p =
        new Processes(
            FRONTS,
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
        workers.add(new EmulatedWorker(p.workers.get(i), seed * 100 + i));
      }
      workers.get(BAD).fail(0.6);
      p.pauseMillis = 10;
      p.functions = 60;
      p.addClients();
      ConcurrentHistogram before = new ConcurrentHistogram(3);
      AtomicInteger good = new AtomicInteger();
      Thread.sleep(WARM_MILLIS);
      p.seen =
          (n, micros, error) -> {
            before.recordValue(micros);
            good.addAndGet(isGood(micros, error) ? 1 : 0);
          };
      Thread.sleep(3_000);
      double usual = (double) good.get() / before.getTotalCount();
      p.list(DRAINED, "terminating", 0);
      Thread.sleep(1_500);
      int drained = workers.get(DRAINED).runs();
      for (int i : RESTARTED) {
        p.nodes.get(i).kill();
        forget(p.nodes.get(i).folder);
      }
      ConcurrentLinkedQueue<Answer> answers = new ConcurrentLinkedQueue<>();
      ConcurrentHistogram others = new ConcurrentHistogram(3);
      long[] ready = new long[FRONTS];
      int loads = workers.stream().mapToInt(EmulatedWorker::loads).sum();
      p.seen =
          (n, micros, error) -> {
            if (ready[n.number] > 0) {
              answers.add(
                  new Answer(
                      (System.nanoTime() - ready[n.number]) / 1_000_000, micros, error == null));
            } else if (Arrays.stream(RESTARTED).noneMatch(i -> i == n.number)) {
              others.recordValue(micros);
            }
          };
      for (int i : RESTARTED) {
        p.nodes.get(i).start();
      }
      for (int i : RESTARTED) {
        Processes.awaitReady(p.nodes.get(i).door);
        ready[i] = System.nanoTime();
      }
      Thread.sleep(AFTER_MILLIS);
      List<Answer> first = answers.stream().filter(a -> a.afterMillis < 3_000).toList();
      System.out.printf(
          "%s seed %d: back at the usual %.3f after %s ms; first 3 s: %d calls, longer than a load %.4f, not served %.4f; fetches %d; "
              + "others' 99th %d us (%d before); pages given %d; sends to the drained %d; %s%n",
          learns ? "learns" : "knows nothing",
          seed,
          usual,
          back(answers, usual),
          first.size(),
          share(first, a -> a.micros > 1_000 * EmulatedWorker.LOAD_MILLIS),
          share(first, a -> !a.served),
          workers.stream().mapToInt(EmulatedWorker::loads).sum() - loads,
          others.getValueAtPercentile(99),
          before.getValueAtPercentile(99),
          pages(p),
          workers.get(DRAINED).runs() - drained,
          told(p));
    }
  }

  private static boolean isGood(long micros, String error) {
    return error == null && micros < 1_000 * EmulatedWorker.LOAD_MILLIS;
  }

  private static double share(List<Answer> all, java.util.function.Predicate<Answer> what) {
    return all.isEmpty() ? 0 : (double) all.stream().filter(what).count() / all.size();
  }

  /** From when on each half second was as good as usual, but for two calls in a hundred. */
  private static long back(Iterable<Answer> answers, double usual) {
    int slots = (int) (AFTER_MILLIS / 500);
    int[] all = new int[slots];
    int[] good = new int[slots];
    for (Answer a : answers) {
      int slot = (int) Math.min(slots - 1, a.afterMillis / 500);
      all[slot]++;
      good[slot] += a.served && a.micros < 1_000 * EmulatedWorker.LOAD_MILLIS ? 1 : 0;
    }
    for (int s = 0; s < slots; s++) {
      if (all[s] > 0 && (double) good[s] / all[s] >= usual - 0.02) {
        return s * 500L;
      }
    }
    return AFTER_MILLIS;
  }

  private static Map<String, Object> learning(int[] ports, int self) {
    List<String> peers = new ArrayList<>();
    for (int i = 0; i < ports.length; i++) {
      if (i != self) {
        peers.add("127.0.0.1:" + ports[i]);
      }
    }
    return new TreeMap<>(Map.of("listen", "127.0.0.1:" + ports[self], "peers", peers));
  }

  /** Whatever a process leaves for its successor. */
  private static void forget(Path folder) throws Exception {
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

  private static int pages(Processes p) throws Exception {
    int given = 0;
    for (Processes.Node n : p.nodes) {
      int said = n.said().length();
      n.signal("USR2");
      Processes.await("no counters", 10, () -> n.said().substring(said).contains("counters"));
      String line = n.said().substring(said);
      int at = line.indexOf(" pages_given=");
      given += at < 0 ? 0 : Integer.parseInt(line.substring(at + 13).split("[ \\n]")[0]);
    }
    return given;
  }

  private static String told(Processes p) throws Exception {
    String last = "";
    for (String line : p.nodes.get(RESTARTED[0]).said().lines().toList()) {
      last = line.contains("facts of use") ? line : last;
    }
    return last;
  }
}
