package umberrun;

import com.google.gson.JsonObject;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.nio.file.Files;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import umberrun.config.LeaseOptions;
import umberrun.consensus.net.RegisterManager;
import umberrun.core.Clock;
import umberrun.stats.Counters;

/**
 * Benchmark, not part of the build: the latency of calls with and without leases, and the rate of
 * register changes.
 */
public final class LeaseFigures {
  private static final int MEASURED_SECONDS = 10;
  private static final int ROUNDS = 3;
  private static final int PARALLEL_CHANGES = 16;
  private static final long SETTLE_MILLIS = 3_000;
  private static final long CHANGE_TIMEOUT_MICROS = 2_000_000;

  private LeaseFigures() {}

  public static void main(String[] args) throws Exception {
    for (int voters : new int[] {3, 5}) {
      measureChanges(voters);
    }
    for (int round = 0; round < ROUNDS; round++) {
      for (boolean withLeases : new boolean[] {true, false}) {
        measureCalls(withLeases);
      }
    }
    System.exit(0);
  }

  /** Measures calls through five processes, with leases and probes or without. */
  private static void measureCalls(boolean withLeases) throws Exception {
    Map<String, Object> fleet = new TreeMap<>();
    try (Processes processes =
        new Processes(
            5,
            6,
            i ->
                new TreeMap<>(
                    withLeases
                        ? Map.of(
                            "fleet",
                            fleet,
                            "leases",
                            new TreeMap<>(
                                Map.of(
                                    "voters",
                                    List.of("n0", "n1", "n2"),
                                    "state_dir",
                                    Processes.stateDir(i),
                                    "probe_ms",
                                    500)))
                        : Map.of("fleet", fleet)))) {
      processes.awaitView(20, 0, 1, 2, 3, 4);
      if (withLeases) {
        umberrun.fleet.net.FleetClient.ask(
            "127.0.0.1",
            processes.nodes.get(3).fleetPort,
            umberrun.fleet.net.FleetCodec.Frame.Kind.CALL,
            "leases found");
      }
      // Warm-up.
      Thread.sleep(TimeUnit.SECONDS.toMillis(MEASURED_SECONDS));
      processes.latencyMicros.reset();
      long votesBefore = votes(processes);
      long syncsBefore = count(processes, "vote_syncs=");
      Thread.sleep(TimeUnit.SECONDS.toMillis(MEASURED_SECONDS));
      System.out.printf(
          "calls with leases %s: median %d us, 99th %d us, %d calls; votes %.1f a second at a voter, syncs %.1f%n",
          withLeases ? "on " : "off",
          processes.latencyMicros.getValueAtPercentile(50),
          processes.latencyMicros.getValueAtPercentile(99),
          processes.latencyMicros.getTotalCount(),
          (votes(processes) - votesBefore) / (double) MEASURED_SECONDS,
          (count(processes, "vote_syncs=") - syncsBefore) / (double) MEASURED_SECONDS);
    }
    if (withLeases) {
      Processes.deleteStateDirs();
    }
  }

  /** Votes that the first process has cast. */
  private static long votes(Processes processes) throws Exception {
    return count(processes, "votes=");
  }

  /** Reads a counter of the first process from its log, 0 if the line does not have it. */
  private static long count(Processes processes, String name) throws Exception {
    int logLength = processes.nodes.get(0).output().length();
    processes.nodes.get(0).signal("USR2");
    Processes.await(
        "no counters",
        10,
        () -> processes.nodes.get(0).output().substring(logLength).contains("counters"));
    String line = processes.nodes.get(0).output().substring(logLength);
    int at = line.indexOf(" " + name);
    return at < 0 ? 0 : Long.parseLong(line.substring(at + 1 + name.length()).split("[ \\n]")[0]);
  }

  /**
   * Measures changes of registers, with all voters and their folders in one process. Each of the
   * parallel clients changes a register of its own, again and again.
   */
  private static void measureChanges(int voters) throws Exception {
    Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    List<String> names = IntStream.range(0, voters).mapToObj(i -> "v" + i).toList();
    Map<String, RegisterManager> managers = new TreeMap<>();
    AtomicInteger done = new AtomicInteger();
    CountDownLatch bootstrapped = new CountDownLatch(1);
    vertx.runOnContext(
        v -> {
          io.vertx.core.Context context = vertx.getOrCreateContext();
          for (String name : names) {
            try {
              LeaseOptions options =
                  new LeaseOptions(
                      names,
                      Files.createTempDirectory("figures").toString(),
                      3_000,
                      0.01,
                      0,
                      0,
                      null,
                      1_000);
              managers.put(
                  name,
                  new RegisterManager(
                      vertx,
                      new Clock(),
                      options,
                      "f",
                      name,
                      name.hashCode(),
                      new Counters(),
                      s -> {},
                      new RegisterManager.Transport() {
                        @Override
                        public void send(String to, byte[] body) {
                          context.runOnContext(x -> managers.get(to).receive(name, body));
                        }

                        @Override
                        public List<String> livingMembers() {
                          return List.of();
                        }
                      }));
            } catch (java.io.IOException e) {
              throw new java.io.UncheckedIOException(e);
            }
          }
          managers.values().forEach(RegisterManager::open);
          vertx.setTimer(500, t -> managers.get("v0").bootstrapVoters());
          vertx.setPeriodic(
              100,
              t -> {
                JsonObject status = managers.get("v0").status();
                if (status.get("epoch").getAsLong() > 0 && !status.get("busy").getAsBoolean()) {
                  vertx.cancelTimer(t);
                  for (int i = 0; i < PARALLEL_CHANGES; i++) {
                    change(
                        new Clock(),
                        managers.get(names.get(i % voters)).newClient(),
                        "r" + i,
                        done);
                  }
                  bootstrapped.countDown();
                }
              });
        });
    bootstrapped.await();
    Thread.sleep(SETTLE_MILLIS);
    int doneBefore = done.get();
    Thread.sleep(TimeUnit.SECONDS.toMillis(MEASURED_SECONDS));
    System.out.printf(
        "%d voters: %.0f changes a second, %d at a time%n",
        voters, (done.get() - doneBefore) / (double) MEASURED_SECONDS, PARALLEL_CHANGES);
    vertx.close();
  }

  /** Changes a register, and does so again once the change has ended. */
  private static void change(
      Clock clock, RegisterManager.RegisterClient client, String register, AtomicInteger done) {
    client.change(
        register,
        v -> v.withText("x"),
        clock.now() + CHANGE_TIMEOUT_MICROS,
        v -> {
          done.addAndGet(v == null ? 0 : 1);
          change(clock, client, register, done);
        });
  }
}
