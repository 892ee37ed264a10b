package umberrun;

import static org.junit.Assert.assertEquals;

import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.Test;
import umberrun.Processes.Node;
import umberrun.Processes.Reach;

/**
 * Real processes through faults drawn from a seed: outages of discovery, drains, restarts,
 * upgrades, kills, stops, signals in series and crowds, several at a time. Each call that is owed
 * an answer gets one, and no worker gets work past the told time and the grace.
 *
 * <p>More seeds by hand: {@code -Dsoak.seeds=1-50}.
 */
public class FaultSoakIT {
  private static final String SEEDS = System.getProperty("soak.seeds", "1-2");
  private static final int NODES = 3;
  private static final int WORKERS = 8;
  private static final int MOST_DRAINING = 3;
  private static final int CROWD = 150;
  private static final long FAULTS_MILLIS = 22_000;
  private static final long PATIENCE_SECONDS = 15;

  private Processes fleet;
  private final List<DrainableWorker> workers = new ArrayList<>();
  private final List<String> done = new ArrayList<>();

  @Test
  public void everySeedKeepsTheRules() throws Exception {
    String[] range = SEEDS.split("-");
    for (int seed = Integer.parseInt(range[0]);
        seed <= Integer.parseInt(range[range.length - 1]);
        seed++) {
      try {
        play(new Random(seed));
        System.err.println(
            "soak: seed " + seed + " kept the rules, " + fleet.served + " calls served");
      } catch (Exception | AssertionError e) {
        throw new AssertionError("seed " + seed + " after " + done + ": " + e.getMessage(), e);
      }
    }
  }

  private void play(Random random) throws Exception {
    fleet = new Processes(NODES, WORKERS, null);
    fleet.pauseMillis = 20;
    fleet.drawn = true;
    workers.clear();
    done.clear();
    for (int i = 0; i < WORKERS; i++) {
      workers.add(new DrainableWorker(fleet, i, n -> DrainableWorker.TOLD_AND_GRACE_MILLIS));
    }
    List<ExecutorService> hands =
        new ArrayList<>(); // one for each front end, and one for the workers
    for (int i = 0; i <= NODES; i++) {
      hands.add(Executors.newSingleThreadExecutor());
    }
    List<Future<?>> under = new ArrayList<>();
    try {
      long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FAULTS_MILLIS);
      while (System.nanoTime() < end) {
        int hand = random.nextInt(NODES + 1);
        Random own = new Random(random.nextLong());
        under.add(
            hands
                .get(hand)
                .submit(
                    () -> {
                      if (System.nanoTime() < end) {
                        disturb(hand, own);
                      }
                      return null;
                    }));
        Thread.sleep(200 + random.nextInt(800));
      }
      for (Future<?> f : under) {
        f.get(60, TimeUnit.SECONDS);
      }
      heal();
    } finally {
      hands.forEach(ExecutorService::shutdownNow);
      fleet.close();
    }
    StringBuilder late = new StringBuilder();
    workers.forEach(
        w ->
            late.append(
                w.late.isEmpty()
                    ? ""
                    : "w" + w.number + " got " + w.late.size() + " late: " + w.late + "; "));
    assertEquals("", late.toString());
    assertEquals("calls without their one answer", List.of(), List.copyOf(fleet.faults));
  }

  private synchronized void say(String what) {
    done.add(what);
  }

  private void disturb(int hand, Random random) throws Exception {
    if (hand == NODES) {
      disturbWorkers(random);
      return;
    }
    Node node = fleet.nodes.get(hand);
    switch (random.nextInt(10)) {
      case 0, 1, 2, 3 -> outage(node, random);
      case 4 -> {
        say("n" + hand + " upgraded");
        node.keepsConfiguration = random.nextBoolean();
        node.upgrade();
      }
      case 5 -> {
        say("n" + hand + " restarted");
        node.keepsConfiguration = false;
        node.restart();
      }
      case 6 -> {
        say("n" + hand + " killed");
        node.keepsConfiguration = false;
        node.kill();
        node.start();
        Processes.awaitReady(node.door);
      }
      case 7 -> {
        say("n" + hand + " stopped");
        node.signal("STOP");
        Thread.sleep(200 + random.nextInt(1_500));
        node.signal("CONT");
      }
      case 8 -> {
        say("n" + hand + " moved");
        for (int i = 1 + random.nextInt(3); i > 0; i--) {
          fleet.moveDiscovery(node);
        }
        Thread.sleep(random.nextInt(6_000));
        node.discovery.set(Reach.WELL);
      }
      default -> crowd(node, random);
    }
  }

  private void outage(Node node, Random random) throws Exception {
    Reach how = List.of(Reach.REFUSES, Reach.HANGS, Reach.FAILS).get(random.nextInt(3));
    long millis = 500 + random.nextInt(13_000);
    say("n" + node.number + " " + how + " for " + millis);
    node.discovery.set(how);
    Thread.sleep(millis);
    node.discovery.set(Reach.WELL);
  }

  private void disturbWorkers(Random random) throws Exception {
    DrainableWorker w = workers.get(random.nextInt(WORKERS));
    if (w.isDraining()) {
      say("w" + w.number + " back");
      w.comeBack();
    } else if (workers.stream().filter(DrainableWorker::isDraining).count() < MOST_DRAINING) {
      say("w" + w.number + " drains");
      w.drain();
    }
  }

  /** Many connections at once that say nothing. */
  private void crowd(Node node, Random random) throws Exception {
    say("n" + node.number + " crowded");
    List<Socket> all = new ArrayList<>();
    try {
      for (int i = 0; i < CROWD; i++) {
        all.add(new Socket(InetAddress.getLoopbackAddress(), node.rpc));
      }
      Thread.sleep(random.nextInt(2_000));
    } catch (java.net.ConnectException e) {
      // it is just being started
    } finally {
      for (Socket s : all) {
        s.close();
      }
    }
  }

  /** All is well again: every worker that does not drain gets work soon, by whichever front end. */
  private void heal() throws Exception {
    for (Node n : fleet.nodes) {
      n.discovery.set(Reach.WELL);
    }
    int before = fleet.served.get();
    Processes.await(
        "hardly anything is served after the faults",
        PATIENCE_SECONDS,
        () -> fleet.served.get() > before + 200);
    int[] had = workers.stream().mapToInt(w -> w.work.get()).toArray();
    Processes.await(
        "most workers get nothing after the faults",
        PATIENCE_SECONDS,
        () ->
            workers.stream().filter(w -> w.isDraining() || w.work.get() > had[w.number]).count()
                > WORKERS / 2);
  }
}
