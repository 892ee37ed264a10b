package umberrun;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.AfterClass;
import org.junit.Before;
import org.junit.BeforeClass;
import org.junit.Test;
import umberrun.fleet.About;
import umberrun.fleet.Claim;
import umberrun.fleet.GossipMessage;
import umberrun.fleet.ProcessGeneration;
import umberrun.fleet.net.FleetClient;
import umberrun.fleet.net.FleetCodec;
import umberrun.fleet.net.FleetCodec.Frame;

/** Tests that six processes keep a correct view of each other under process and network faults. */
public class FleetProcessesIT {
  /**
   * The views of all running members agree within this after the last fault. By the settings below:
   * a round of probes and the longest suspicion take 2.2 s, reconnecting to dead members 0.5 s and
   * two exchanges 1 s; the rest is reserve for a busy machine.
   */
  private static final long AGREEMENT_TIMEOUT_SECONDS = 15;

  private static final int SIZE = 6;
  private static final int[] ALL_NODES = {0, 1, 2, 3, 4, 5};

  private static Processes fleet;

  @BeforeClass
  public static void start() throws Exception {
    fleet =
        new Processes(
            SIZE,
            4,
            i ->
                new TreeMap<>(
                    Map.of(
                        "fleet",
                        new TreeMap<>(
                            Map.of(
                                "interval_ms",
                                100,
                                "timeout_ms",
                                40,
                                "exchange_ms",
                                1_000,
                                "reconnect_ms",
                                300,
                                "sure_ms",
                                2_000,
                                "settle_ms",
                                500)))));
  }

  @AfterClass
  public static void stop() throws Exception {
    fleet.close();
    assertEquals("calls without their one answer", List.of(), List.copyOf(fleet.faults));
    assertTrue("too few calls served: " + fleet.served, fleet.served.get() > 500);
  }

  @Before
  public void restoreNetwork() throws Exception {
    fleet.forEachRelay(Relay::heal);
    for (Processes.Node n : fleet.nodes) {
      n.disturbed = false;
    }
    fleet.awaitView(AGREEMENT_TIMEOUT_SECONDS, ALL_NODES);
  }

  private static Processes.Node node(int i) {
    return fleet.nodes.get(i);
  }

  /**
   * Two processes killed at once are detected by all others. After a restart they are the same
   * members again and fetch facts from the members that they have found.
   */
  @Test
  public void aThirdKilledAndRestarted() throws Exception {
    // Node 0 is one of the two seeds.
    node(0).kill();
    node(4).kill();
    fleet.awaitView(AGREEMENT_TIMEOUT_SECONDS, 1, 2, 3, 5);
    int logStart = node(4).output().length();
    node(0).start();
    node(4).start();
    Processes.awaitReady(node(0).operatorPort);
    Processes.awaitReady(node(4).operatorPort);
    fleet.awaitView(AGREEMENT_TIMEOUT_SECONDS, ALL_NODES);
    String learned =
        node(4)
            .output()
            .substring(logStart)
            .lines()
            .filter(l -> l.contains("facts of use from"))
            .findFirst()
            .orElse("nothing");
    assertTrue(learned, learned.contains("facts of use from") && !learned.contains("from 0 peers"));
  }

  /**
   * A process stopped for longer than a suspicion lasts is held dead by all others; once continued,
   * it refutes that and accuses nobody. It need not log that it was accused: what it published just
   * before the stop may be newer than the incarnation that the others held dead.
   */
  @Test
  public void aStoppedProcessRefutesItsDeath() throws Exception {
    int logStart = node(2).output().length();
    node(2).signal("STOP");
    long deadIncarnation = -1;
    for (int i : new int[] {0, 1, 3, 4, 5}) {
      Processes.await(
          "n" + i + " does not hold n2 dead",
          AGREEMENT_TIMEOUT_SECONDS,
          () -> viewOfN2(i).get("status").getAsString().equals("dead"));
      deadIncarnation = Math.max(deadIncarnation, viewOfN2(i).get("incarnation").getAsLong());
    }
    node(2).signal("CONT");
    fleet.awaitView(AGREEMENT_TIMEOUT_SECONDS, ALL_NODES);
    for (int i : ALL_NODES) {
      assertTrue(
          viewOfN2(i) + " after " + deadIncarnation,
          viewOfN2(i).get("incarnation").getAsLong() > deadIncarnation);
    }
    String newLog = node(2).output().substring(logStart);
    assertFalse(newLog, newLog.contains("\"died\""));
  }

  /** Returns the entry for n2 in the view of a front end. */
  private static JsonObject viewOfN2(int at) throws Exception {
    for (JsonElement m : node(at).view().getAsJsonArray("members")) {
      if (m.getAsJsonObject().get("name").getAsString().equals("n2")) {
        return m.getAsJsonObject();
      }
    }
    throw new AssertionError("n" + at + " has no n2 in its view");
  }

  /** Each side of a partition sees itself only, and does not take over the share of the other. */
  @Test
  public void aPartitionHealsByItself() throws Exception {
    for (int a = 0; a < SIZE; a++) {
      for (int b = 0; b < SIZE; b++) {
        if (a % 2 != b % 2) {
          fleet.cut(a, b, true);
        }
      }
    }
    fleet.awaitView(AGREEMENT_TIMEOUT_SECONDS, 0, 2, 4);
    fleet.awaitView(AGREEMENT_TIMEOUT_SECONDS, 1, 3, 5);
    double shares = 0;
    for (Processes.Node n : fleet.nodes) {
      shares += 1 / n.view().get("divisor").getAsDouble();
    }
    assertTrue("shares add up to " + shares, shares <= 1.0 + 1e-9);
    fleet.forEachRelay(Relay::heal);
    fleet.awaitView(AGREEMENT_TIMEOUT_SECONDS, ALL_NODES);
  }

  /**
   * With a link cut in one direction, indirect probes through the others keep both members alive.
   */
  @Test
  public void aOneWayCutCausesNoDeath() throws Exception {
    int[] logStarts = new int[SIZE];
    for (int i : ALL_NODES) {
      logStarts[i] = node(i).output().length();
    }
    fleet.cut(1, 2, true);
    int startProbes = countProbeUpdates(2);
    Processes.await(
        "too few probes", AGREEMENT_TIMEOUT_SECONDS, () -> countProbeUpdates(2) > startProbes + 60);
    fleet.awaitView(AGREEMENT_TIMEOUT_SECONDS, ALL_NODES);
    for (int i : ALL_NODES) {
      assertFalse("n" + i, node(i).output().substring(logStarts[i]).contains("\"died\""));
    }
  }

  /**
   * Counts the changes of the round trip times in the view of a node from call to call, as a lower
   * bound of its probes.
   */
  private int countProbeUpdates(int of) throws Exception {
    int tripSum = 0;
    for (JsonElement m : node(of).view().getAsJsonArray("members")) {
      JsonElement trip = m.getAsJsonObject().get("round_trip_us");
      tripSum += trip == null ? 0 : trip.getAsInt();
    }
    tripChanges += tripSum == lastTripSum ? 0 : 1;
    lastTripSum = tripSum;
    return tripChanges;
  }

  private int tripChanges;
  private int lastTripSum;

  @Test
  public void lossDelayAndDuplicatesAreTolerated() throws Exception {
    fleet.forEachRelay(
        r -> {
          r.lossProbability = 0.3;
          r.duplicateProbability = 0.2;
          r.delayMillis = 30;
        });
    node(3).kill();
    Processes.await(
        "the death of n3 was not detected",
        AGREEMENT_TIMEOUT_SECONDS,
        () -> !node(0).alive().contains("n3"));
    node(3).start();
    Processes.awaitReady(node(3).operatorPort);
    fleet.forEachRelay(Relay::heal);
    fleet.awaitView(AGREEMENT_TIMEOUT_SECONDS, ALL_NODES);
  }

  /**
   * All processes are upgraded one after the other. Each successor is the same member, and the end
   * of its predecessor is not reported as a departure.
   */
  @Test
  public void upgradesAreNotReportedAsDepartures() throws Exception {
    int[] logStarts = new int[SIZE];
    for (int i : ALL_NODES) {
      logStarts[i] = node(i).output().length();
    }
    for (int i : ALL_NODES) {
      node(i).upgrade();
      fleet.awaitView(AGREEMENT_TIMEOUT_SECONDS, ALL_NODES);
    }
    for (int i : ALL_NODES) {
      String newLog = node(i).output().substring(logStarts[i]);
      assertTrue(newLog, newLog.contains("\"restarted\""));
      assertFalse(
          "n" + i + " logged a departure: " + newLog,
          newLog.contains("\"left\"") || newLog.contains("\"died\""));
    }
  }

  /** Malformed, replayed and foreign datagrams are counted and have no other effect. */
  @Test
  public void garbageIsDroppedAndCounted() throws Exception {
    Claim outdated =
        new Claim(
            "n1",
            new ProcessGeneration(1, 1),
            0,
            Claim.Status.DEAD,
            new About("hall-a", node(1).address(), About.State.SERVING, "", "", "", 0, false),
            "n9",
            0);
    GossipMessage message =
        new GossipMessage(GossipMessage.Kind.PING, 1, "n0", "", outdated, List.of(outdated));
    byte[] replayed = new FleetCodec(Processes.FLEET).encode(message);
    byte[] foreign = new FleetCodec("other").encode(message);
    Random random = new Random(3);
    try (DatagramSocket socket = new DatagramSocket()) {
      for (int i = 0; i < 200; i++) {
        byte[] garbage = new byte[random.nextInt(1_500)];
        random.nextBytes(garbage);
        for (byte[] bytes :
            List.of(
                garbage,
                replayed,
                Arrays.copyOf(replayed, random.nextInt(replayed.length)),
                foreign)) {
          socket.send(
              new DatagramPacket(
                  bytes, bytes.length, InetAddress.getLoopbackAddress(), node(0).fleetPort));
        }
      }
    }
    fleet.awaitView(AGREEMENT_TIMEOUT_SECONDS, ALL_NODES);
    // Makes the process print its counters.
    node(0).signal("USR2");
    Processes.await(
        "the datagrams were not counted",
        AGREEMENT_TIMEOUT_SECONDS,
        () ->
            node(0).output().contains("fleet_unreadable=")
                && node(0).output().contains("fleet_foreign="));
  }

  /** A member that an operator makes leave is gone at once, and returns with its next start. */
  @Test
  public void leavingByOperatorRequestIsAnnounced() throws Exception {
    JsonObject answer =
        com.google.gson.JsonParser.parseString(
                FleetClient.ask("127.0.0.1", node(3).fleetPort, Frame.Kind.LEAVE))
            .getAsJsonObject();
    assertTrue(answer.get("left").getAsBoolean());
    fleet.awaitView(AGREEMENT_TIMEOUT_SECONDS, 0, 1, 2, 4, 5);
    assertTrue(node(1).output().lines().anyMatch(l -> l.contains("\"left\"") && l.contains("n3")));
    node(3).kill();
    node(3).start();
    Processes.awaitReady(node(3).operatorPort);
  }
}
