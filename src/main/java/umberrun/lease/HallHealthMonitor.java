package umberrun.lease;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Asks the workers of a hall in turn, for all front ends, and judges them by their answers: who is
 * silent or gone, who is much slower than the others, and who is back. Free of I/O, threads and
 * clocks; times are in microseconds.
 */
public final class HallHealthMonitor {
  /**
   * What was seen of a worker.
   *
   * @param latencyRatio its time over the usual
   * @param failureRate share of bad outcomes: 0 or 1 here
   * @param seenAt when it was asked, as it was so then at the latest
   */
  public record HealthReading(
      String worker, double latencyRatio, double failureRate, long seenAt) {}

  /** What is known of one worker. */
  private static final class Seen {
    private long askedAt;
    private boolean asking;
    private int misses;
    private double took;
    private int answers;
    private boolean failing;
    private boolean slow;
    private long seenAt;
    private boolean news;
  }

  /** Unanswered in a row that make a worker a failing one: one may be a lost connection. */
  static final int MISSES = 2;

  /** A worker whose answers take so many times the usual is slow, and well again below so many. */
  private static final double SLOW = 3;

  private static final double WELL = 1.8;
  private static final int ANSWERS = 4;
  private static final double STEP = 0.3;

  /** Differences below this are the network's, not a worker's. */
  private static final double LEAST_TOOK = 2_000;

  private final long every;
  private final Map<String, Seen> workers = new HashMap<>();

  /**
   * @param every between two questions to one worker
   */
  public HallHealthMonitor(long every) {
    this.every = every;
  }

  /**
   * Whom to ask now: each that may get work, once in a while, and not twice at a time. Others are
   * forgotten.
   */
  public List<String> workersToProbe(long now, Collection<String> ready) {
    Set<String> gone = new HashSet<>(workers.keySet());
    gone.removeAll(Set.copyOf(ready));
    workers.keySet().removeAll(gone);
    List<String> asked = new ArrayList<>();
    int i = 0;
    for (String name : ready) {
      Seen s = workers.get(name);
      if (s == null) { // spread over the time between two questions
        s = new Seen();
        s.askedAt = now - every + every * i / ready.size();
        workers.put(name, s);
      }
      i++;
      if (!s.asking && now - s.askedAt >= every) {
        s.asking = true;
        s.askedAt = now;
        asked.add(name);
      }
    }
    return asked;
  }

  /** A question is over. */
  public void recordProbe(String worker, long took, boolean alive) {
    Seen s = workers.get(worker);
    if (s == null || !s.asking) {
      return; // it went meanwhile
    }
    s.asking = false;
    boolean failed = s.failing;
    boolean wasSlow = s.slow;
    if (alive) {
      s.misses = 0;
      s.failing = false;
      s.took = s.answers == 0 ? took : s.took + STEP * (took - s.took);
      s.answers = Math.min(ANSWERS, s.answers + 1);
      double pace = pace(s);
      s.slow = s.answers >= ANSWERS && (s.slow ? pace > WELL : pace > SLOW);
    } else {
      s.misses++;
      s.failing = s.misses >= MISSES;
      s.answers = 0;
      s.slow = false;
    }
    s.seenAt = s.askedAt;
    s.news |= s.failing != failed || s.slow != wasSlow;
  }

  private double pace(Seen s) {
    double[] all =
        workers.values().stream()
            .filter(o -> o.answers > 0)
            .mapToDouble(o -> o.took)
            .sorted()
            .toArray();
    return all.length == 0
        ? 1
        : Math.max(LEAST_TOOK, s.took) / Math.max(LEAST_TOOK, all[all.length / 2]);
  }

  /** What has changed since it was asked for last. */
  public List<HealthReading> changes() {
    List<HealthReading> out = new ArrayList<>();
    workers.forEach(
        (name, s) -> {
          if (s.news) {
            s.news = false;
            out.add(reading(name, s));
          }
        });
    return out;
  }

  /** What is known now of all that were asked. */
  public List<HealthReading> readings() {
    List<HealthReading> out = new ArrayList<>();
    workers.forEach(
        (name, s) -> {
          if (s.seenAt > 0 && (s.answers > 0 || s.failing)) {
            out.add(reading(name, s));
          }
        });
    return out;
  }

  private HealthReading reading(String name, Seen s) {
    return new HealthReading(name, s.slow ? pace(s) : 1, s.failing ? 1 : 0, s.seenAt);
  }

  /** Workers held to fail now. */
  public long failingCount() {
    return workers.values().stream().filter(s -> s.failing).count();
  }
}
