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
 * Runs real processes through random faults from a seed, several at a time: outages of discovery,
 * drains of workers, restarts, upgrades, kills, stopped processes, series of signals and bursts of
 * connections. Every call that must be answered gets exactly one answer, and no worker gets work
 * once the time to learn of its drain and the grace period have passed.
 *
 * <p>{@code -Dsoak.seeds=1-50} runs these seeds instead of the default ones.
 */
public class FaultSoakIT {
  private static final String SEEDS = System.getProperty("soak.seeds", "1-2");
  private static final int NODES = 3;
  private static final int WORKERS = 8;
  private static final int MAX_DRAINING = 3;
  private static final int BURST_CONNECTIONS = 150;
  private static final long FAULTS_MILLIS = 22_000;
  private static final long RECOVERY_SECONDS = 15;

  /** How long a fault may go on after the time for faults is over. */
  private static final long FAULT_END_SECONDS = 60;

  /** How many more calls must be served after the faults. */
  private static final int CALLS_AFTER_FAULTS = 200;

  private Processes fleet;
  private final List<DrainableWorker> workers = new ArrayList<>();

  /** The faults so far, for the failure message. */
  private final List<String> faultLog = new ArrayList<>();

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
        throw new AssertionError("seed " + seed + " after " + faultLog + ": " + e.getMessage(), e);
      }
    }
  }

  private void play(Random random) throws Exception {
    fleet = new Processes(NODES, WORKERS, null);
    fleet.pauseMillis = 20;
    fleet.randomFunctions = true;
    workers.clear();
    faultLog.clear();
    for (int i = 0; i < WORKERS; i++) {
      workers.add(new DrainableWorker(fleet, i, n -> DrainableWorker.TOLD_AND_GRACE_MILLIS));
    }
    // One executor for each front end and one for the workers: faults of one party run one by one.
    List<ExecutorService> executors = new ArrayList<>();
    for (int i = 0; i <= NODES; i++) {
      executors.add(Executors.newSingleThreadExecutor());
    }
    List<Future<?>> faults = new ArrayList<>();
    try {
      long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FAULTS_MILLIS);
      while (System.nanoTime() < end) {
        int party = random.nextInt(NODES + 1);
        Random faultRandom = new Random(random.nextLong());
        faults.add(
            executors
                .get(party)
                .submit(
                    () -> {
                      if (System.nanoTime() < end) {
                        injectFault(party, faultRandom);
                      }
                      return null;
                    }));
        Thread.sleep(200 + random.nextInt(800));
      }
      for (Future<?> fault : faults) {
        fault.get(FAULT_END_SECONDS, TimeUnit.SECONDS);
      }
      awaitRecovery();
    } finally {
      executors.forEach(ExecutorService::shutdownNow);
      fleet.close();
    }
    StringBuilder lateWork = new StringBuilder();
    workers.forEach(
        w ->
            lateWork.append(
                w.late.isEmpty()
                    ? ""
                    : "w" + w.number + " got " + w.late.size() + " late: " + w.late + "; "));
    assertEquals("", lateWork.toString());
    assertEquals("calls without exactly one answer", List.of(), List.copyOf(fleet.faults));
  }

  private synchronized void logFault(String fault) {
    faultLog.add(fault);
  }

  /** Injects one random fault at a front end, or at a worker if the party is {@code NODES}. */
  private void injectFault(int party, Random random) throws Exception {
    if (party == NODES) {
      drainOrReactivate(random);
      return;
    }
    Node node = fleet.nodes.get(party);
    switch (random.nextInt(10)) {
      case 0, 1, 2, 3 -> outage(node, random);
      case 4 -> {
        logFault("n" + party + " upgraded");
        node.keepsConfiguration = random.nextBoolean();
        node.upgrade();
      }
      case 5 -> {
        logFault("n" + party + " restarted");
        node.keepsConfiguration = false;
        node.restart();
      }
      case 6 -> {
        logFault("n" + party + " killed");
        node.keepsConfiguration = false;
        node.kill();
        node.start();
        Processes.awaitReady(node.operatorPort);
      }
      case 7 -> {
        logFault("n" + party + " stopped");
        node.signal("STOP");
        Thread.sleep(200 + random.nextInt(1_500));
        node.signal("CONT");
      }
      case 8 -> {
        logFault("n" + party + " moved");
        for (int i = 1 + random.nextInt(3); i > 0; i--) {
          fleet.moveDiscovery(node);
        }
        Thread.sleep(random.nextInt(6_000));
        node.discovery.set(Reach.ANSWERS);
      }
      default -> openIdleConnections(node, random);
    }
  }

  /** Makes discovery fail for a while, as seen by one front end. */
  private void outage(Node node, Random random) throws Exception {
    Reach failure = List.of(Reach.REFUSES, Reach.HANGS, Reach.FAILS).get(random.nextInt(3));
    long millis = 500 + random.nextInt(13_000);
    logFault("n" + node.number + " " + failure + " for " + millis);
    node.discovery.set(failure);
    Thread.sleep(millis);
    node.discovery.set(Reach.ANSWERS);
  }

  /** Drains a random worker, or makes it serve again if it is draining. */
  private void drainOrReactivate(Random random) throws Exception {
    DrainableWorker worker = workers.get(random.nextInt(WORKERS));
    if (worker.isDraining()) {
      logFault("w" + worker.number + " back");
      worker.resume();
    } else if (workers.stream().filter(DrainableWorker::isDraining).count() < MAX_DRAINING) {
      logFault("w" + worker.number + " drains");
      worker.drain();
    }
  }

  /** Opens many connections at once and sends nothing on them. */
  private void openIdleConnections(Node node, Random random) throws Exception {
    logFault("n" + node.number + " gets idle connections");
    List<Socket> connections = new ArrayList<>();
    try {
      for (int i = 0; i < BURST_CONNECTIONS; i++) {
        connections.add(new Socket(InetAddress.getLoopbackAddress(), node.rpcPort));
      }
      Thread.sleep(random.nextInt(2_000));
    } catch (java.net.ConnectException e) {
      // The front end is being started.
    } finally {
      for (Socket connection : connections) {
        connection.close();
      }
    }
  }

  /**
   * Ends all outages, and requires that calls are served again and that most workers get work from
   * any front end, or are draining.
   */
  private void awaitRecovery() throws Exception {
    for (Node n : fleet.nodes) {
      n.discovery.set(Reach.ANSWERS);
    }
    int servedBefore = fleet.served.get();
    Processes.await(
        "too few calls are served after the faults",
        RECOVERY_SECONDS,
        () -> fleet.served.get() > servedBefore + CALLS_AFTER_FAULTS);
    int[] workBefore = workers.stream().mapToInt(w -> w.receivedWork.get()).toArray();
    Processes.await(
        "too few workers get work after the faults",
        RECOVERY_SECONDS,
        () ->
            workers.stream()
                    .filter(w -> w.isDraining() || w.receivedWork.get() > workBefore[w.number])
                    .count()
                > WORKERS / 2);
  }
}
