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
 * Figures for docs/leases.md, outside the build: what leases cost calls, and how many changes a
 * second voters can take.
 */
public final class LeaseFigures {
  private static final int SECONDS = 10;

  private LeaseFigures() {}

  public static void main(String[] args) throws Exception {
    for (int voters : new int[] {3, 5}) {
      changes(voters);
    }
    for (int round = 0; round < 3; round++) {
      for (boolean on : new boolean[] {true, false}) {
        calls(on);
      }
    }
    System.exit(0);
  }

  /** Five processes that serve, with duties and probes or without. */
  private static void calls(boolean on) throws Exception {
    Map<String, Object> fleet = new TreeMap<>();
    try (Processes p =
        new Processes(
            5,
            6,
            i ->
                new TreeMap<>(
                    on
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
      p.awaitView(20, 0, 1, 2, 3, 4);
      if (on) {
        umberrun.fleet.net.FleetClient.ask(
            "127.0.0.1",
            p.nodes.get(3).fleet,
            umberrun.fleet.net.FleetCodec.Frame.Kind.CALL,
            "leases found");
      }
      Thread.sleep(TimeUnit.SECONDS.toMillis(SECONDS)); // warm
      p.took.reset();
      long before = votes(p);
      long syncs = count(p, "vote_syncs=");
      Thread.sleep(TimeUnit.SECONDS.toMillis(SECONDS));
      System.out.printf(
          "calls with leases %s: median %d us, 99th %d us, %d calls; votes %.1f a second at a voter, syncs %.1f%n",
          on ? "on " : "off",
          p.took.getValueAtPercentile(50),
          p.took.getValueAtPercentile(99),
          p.took.getTotalCount(),
          (votes(p) - before) / (double) SECONDS,
          (count(p, "vote_syncs=") - syncs) / (double) SECONDS);
    }
    if (on) {
      Processes.deleteStateDirs();
    }
  }

  private static long votes(Processes p) throws Exception {
    return count(p, "votes=");
  }

  private static long count(Processes p, String name) throws Exception {
    int said = p.nodes.get(0).said().length();
    p.nodes.get(0).signal("USR2");
    Processes.await(
        "no counters", 10, () -> p.nodes.get(0).said().substring(said).contains("counters"));
    String line = p.nodes.get(0).said().substring(said);
    int at = line.indexOf(" " + name);
    return at < 0 ? 0 : Long.parseLong(line.substring(at + 1 + name.length()).split("[ \\n]")[0]);
  }

  /**
   * Voters with folders in one process, and 16 ways that each change a register of their own all
   * the time.
   */
  private static void changes(int voters) throws Exception {
    Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    List<String> names = IntStream.range(0, voters).mapToObj(i -> "v" + i).toList();
    Map<String, RegisterManager> all = new TreeMap<>();
    AtomicInteger done = new AtomicInteger();
    CountDownLatch founded = new CountDownLatch(1);
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
              all.put(
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
                          context.runOnContext(x -> all.get(to).receive(name, body));
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
          all.values().forEach(RegisterManager::open);
          vertx.setTimer(500, t -> all.get("v0").bootstrapVoters());
          vertx.setPeriodic(
              100,
              t -> {
                JsonObject told = all.get("v0").status();
                if (told.get("epoch").getAsLong() > 0 && !told.get("busy").getAsBoolean()) {
                  vertx.cancelTimer(t);
                  for (int i = 0; i < 16; i++) {
                    change(new Clock(), all.get(names.get(i % voters)).newClient(), "r" + i, done);
                  }
                  founded.countDown();
                }
              });
        });
    founded.await();
    Thread.sleep(3_000);
    int before = done.get();
    Thread.sleep(TimeUnit.SECONDS.toMillis(SECONDS));
    System.out.printf(
        "%d voters: %.0f changes a second, 16 at a time%n",
        voters, (done.get() - before) / (double) SECONDS);
    vertx.close();
  }

  private static void change(
      Clock clock, RegisterManager.RegisterClient way, String register, AtomicInteger done) {
    way.change(
        register,
        v -> v.withText("x"),
        clock.now() + 2_000_000,
        v -> {
          done.addAndGet(v == null ? 0 : 1);
          change(clock, way, register, done);
        });
  }
}
