package umberrun.lease;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Schedules the probes of a hall's workers on behalf of all front ends and judges each worker by
 * the results: whether it is failing, much slower than the others, or has recovered. Free of I/O,
 * threads and clocks; times are in microseconds.
 */
public final class HallHealthMonitor {
  /**
   * Health of a worker as of its last probe.
   *
   * @param worker name of the worker
   * @param latencyRatio its average probe latency over the median of the hall; 1 unless it is slow
   * @param failureRate share of failures: 1 if the worker is failing, else 0
   * @param seenAt when the probe was sent; the reading is never older than this
   */
  public record HealthReading(
      String worker, double latencyRatio, double failureRate, long seenAt) {}

  /** Probe history of one worker. */
  private static final class WorkerHealth {
    private long probedAt;
    private boolean probePending;
    private int misses;
    private double averageLatency;
    private int answers;
    private boolean failing;
    private boolean slow;
    private long seenAt;
    private boolean changed;
  }

  /** Consecutive misses that make a worker failing; a single one may be a lost connection. */
  static final int FAILING_MISSES = 2;

  /** Latency ratio above which a worker becomes slow. */
  private static final double SLOW_RATIO = 3;

  /** Latency ratio at or below which a slow worker has recovered. */
  private static final double RECOVERED_RATIO = 1.8;

  /** Consecutive answers that are needed before a worker may be judged slow. */
  private static final int MIN_ANSWERS = 4;

  /** Weight of the newest probe in the moving average of the latency. */
  private static final double SMOOTHING = 0.3;

  /** Latencies below this differ because of the network, not because of the worker. */
  private static final double MIN_LATENCY_MICROS = 2_000;

  private final long probeInterval;
  private final Map<String, WorkerHealth> workers = new HashMap<>();

  /**
   * @param probeInterval microseconds between two probes of one worker
   */
  public HallHealthMonitor(long probeInterval) {
    this.probeInterval = probeInterval;
  }

  /**
   * Selects the workers to probe now: those whose interval has passed and that have no probe
   * pending. The caller must report each result to {@link #recordProbe}.
   *
   * @param ready all workers that may get work; any other worker is forgotten
   */
  public List<String> workersToProbe(long now, Collection<String> ready) {
    Set<String> removed = new HashSet<>(workers.keySet());
    removed.removeAll(Set.copyOf(ready));
    workers.keySet().removeAll(removed);
    List<String> toProbe = new ArrayList<>();
    int i = 0;
    for (String name : ready) {
      WorkerHealth health = workers.get(name);
      if (health == null) {
        health = new WorkerHealth();
        // Spreads the first probes over one interval.
        health.probedAt = now - probeInterval + probeInterval * i / ready.size();
        workers.put(name, health);
      }
      i++;
      if (!health.probePending && now - health.probedAt >= probeInterval) {
        health.probePending = true;
        health.probedAt = now;
        toProbe.add(name);
      }
    }
    return toProbe;
  }

  /**
   * Records the result of a probe. Ignored for a worker that was removed meanwhile.
   *
   * @param latency microseconds until the probe ended
   * @param alive whether the worker answered
   */
  public void recordProbe(String worker, long latency, boolean alive) {
    WorkerHealth health = workers.get(worker);
    if (health == null || !health.probePending) {
      return;
    }
    health.probePending = false;
    boolean wasFailing = health.failing;
    boolean wasSlow = health.slow;
    if (alive) {
      health.misses = 0;
      health.failing = false;
      health.averageLatency =
          health.answers == 0
              ? latency
              : health.averageLatency + SMOOTHING * (latency - health.averageLatency);
      health.answers = Math.min(MIN_ANSWERS, health.answers + 1);
      double ratio = latencyRatio(health);
      health.slow =
          health.answers >= MIN_ANSWERS
              && (health.slow ? ratio > RECOVERED_RATIO : ratio > SLOW_RATIO);
    } else {
      health.misses++;
      health.failing = health.misses >= FAILING_MISSES;
      health.answers = 0;
      health.slow = false;
    }
    health.seenAt = health.probedAt;
    health.changed |= health.failing != wasFailing || health.slow != wasSlow;
  }

  private double latencyRatio(WorkerHealth health) {
    double[] latencies =
        workers.values().stream()
            .filter(other -> other.answers > 0)
            .mapToDouble(other -> other.averageLatency)
            .sorted()
            .toArray();
    return latencies.length == 0
        ? 1
        : Math.max(MIN_LATENCY_MICROS, health.averageLatency)
            / Math.max(MIN_LATENCY_MICROS, latencies[latencies.length / 2]);
  }

  /** Readings of the workers whose judgement has changed since the last call. */
  public List<HealthReading> changes() {
    List<HealthReading> changed = new ArrayList<>();
    workers.forEach(
        (name, health) -> {
          if (health.changed) {
            health.changed = false;
            changed.add(reading(name, health));
          }
        });
    return changed;
  }

  /** Current readings of all workers that answered their last probe or are failing. */
  public List<HealthReading> readings() {
    List<HealthReading> readings = new ArrayList<>();
    workers.forEach(
        (name, health) -> {
          if (health.seenAt > 0 && (health.answers > 0 || health.failing)) {
            readings.add(reading(name, health));
          }
        });
    return readings;
  }

  private HealthReading reading(String name, WorkerHealth health) {
    return new HealthReading(
        name, health.slow ? latencyRatio(health) : 1, health.failing ? 1 : 0, health.seenAt);
  }

  /** Number of workers that are failing now. */
  public long failingCount() {
    return workers.values().stream().filter(health -> health.failing).count();
  }
}
