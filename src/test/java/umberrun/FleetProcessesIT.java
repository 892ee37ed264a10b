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

/**
 * Six processes keep a view of each other, whatever becomes of some of them and of the ways between
 * them.
 */
public class FleetProcessesIT {
  /**
   * After the last fault all that live tell the same within this. By the settings below: a probe
   * round and the longest suspicion, 2.2 s; finding the dead again, 0.5 s; two exchanges, 1 s; the
   * same again for a machine that runs much else.
   */
  private static final long BOUND_SECONDS = 15;

  private static final int SIZE = 6;
  private static final int[] ALL = {0, 1, 2, 3, 4, 5};

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
  public static void end() throws Exception {
    fleet.close();
    assertEquals("calls without their one answer", List.of(), List.copyOf(fleet.faults));
    assertTrue("hardly any calls: " + fleet.served, fleet.served.get() > 500);
  }

  @Before
  public void whole() throws Exception {
    fleet.eachWay(Relay::heal);
    for (Processes.Node n : fleet.nodes) {
      n.disturbed = false;
    }
    fleet.awaitView(BOUND_SECONDS, ALL);
  }

  private static Processes.Node node(int i) {
    return fleet.nodes.get(i);
  }

  /**
   * Two killed at once are missed by all; back, they are new lives of the same members, and learn
   * from those of the view.
   */
  @Test
  public void aThirdKilledAndBack() throws Exception {
    node(0).kill(); // one of the two on everybody's list
    node(4).kill();
    fleet.awaitView(BOUND_SECONDS, 1, 2, 3, 5);
    int before = node(4).said().length();
    node(0).start();
    node(4).start();
    Processes.awaitReady(node(0).door);
    Processes.awaitReady(node(4).door);
    fleet.awaitView(BOUND_SECONDS, ALL);
    String learned =
        node(4)
            .said()
            .substring(before)
            .lines()
            .filter(l -> l.contains("facts of use from"))
            .findFirst()
            .orElse("nothing");
    assertTrue(learned, learned.contains("facts of use from") && !learned.contains("from 0 peers"));
  }

  /**
   * Stopped for longer than a suspicion lasts, it is held dead by all; let go on, it refutes, and
   * accuses nobody. Whether it logs an accusation is no part of this: what it said just before the
   * stop may be newer than what the others held dead.
   */
  @Test
  public void aStoppedOneComesBack() throws Exception {
    int before = node(2).said().length();
    node(2).signal("STOP");
    long held = -1;
    for (int i : new int[] {0, 1, 3, 4, 5}) {
      Processes.await(
          "n" + i + " does not hold n2 dead",
          BOUND_SECONDS,
          () -> told(i).get("status").getAsString().equals("dead"));
      held = Math.max(held, told(i).get("incarnation").getAsLong());
    }
    node(2).signal("CONT");
    fleet.awaitView(BOUND_SECONDS, ALL);
    for (int i : ALL) {
      assertTrue(told(i) + " after " + held, told(i).get("incarnation").getAsLong() > held);
    }
    String since = node(2).said().substring(before);
    assertFalse(since, since.contains("\"died\""));
  }

  /** What a front end tells of n2. */
  private static JsonObject told(int at) throws Exception {
    for (JsonElement m : node(at).view().getAsJsonArray("members")) {
      if (m.getAsJsonObject().get("name").getAsString().equals("n2")) {
        return m.getAsJsonObject();
      }
    }
    throw new AssertionError("n" + at + " knows no n2");
  }

  /** Each half sees itself, and nobody takes the share of the other half, which lives. */
  @Test
  public void aPartitionHealsByItself() throws Exception {
    for (int a = 0; a < SIZE; a++) {
      for (int b = 0; b < SIZE; b++) {
        if (a % 2 != b % 2) {
          fleet.cut(a, b, true);
        }
      }
    }
    fleet.awaitView(BOUND_SECONDS, 0, 2, 4);
    fleet.awaitView(BOUND_SECONDS, 1, 3, 5);
    double shares = 0;
    for (Processes.Node n : fleet.nodes) {
      shares += 1 / n.view().get("divisor").getAsDouble();
    }
    assertTrue("shares add up to " + shares, shares <= 1.0 + 1e-9);
    fleet.eachWay(Relay::heal);
    fleet.awaitView(BOUND_SECONDS, ALL);
  }

  /** A hears B and B not A: others vouch for both. */
  @Test
  public void aOneWayCutIsNoDeath() throws Exception {
    int[] before = new int[SIZE];
    for (int i : ALL) {
      before[i] = node(i).said().length();
    }
    fleet.cut(1, 2, true);
    int seen = probes(2);
    Processes.await("no more probes", BOUND_SECONDS, () -> probes(2) > seen + 60);
    fleet.awaitView(BOUND_SECONDS, ALL);
    for (int i : ALL) {
      assertFalse("n" + i, node(i).said().substring(before[i]).contains("\"died\""));
    }
  }

  /** Changes of the others' round trips, as a measure of probes that went on. */
  private int probes(int of) throws Exception {
    int now = 0;
    for (JsonElement m : node(of).view().getAsJsonArray("members")) {
      JsonElement trip = m.getAsJsonObject().get("round_trip_us");
      now += trip == null ? 0 : trip.getAsInt();
    }
    trips += now == lastTrips ? 0 : 1;
    lastTrips = now;
    return trips;
  }

  private int trips;
  private int lastTrips;

  @Test
  public void lossDelayAndDuplicatesPass() throws Exception {
    fleet.eachWay(
        r -> {
          r.loss = 0.3;
          r.doubled = 0.2;
          r.delayMillis = 30;
        });
    node(3).kill();
    Processes.await("n3 is not missed", BOUND_SECONDS, () -> !node(0).alive().contains("n3"));
    node(3).start();
    Processes.awaitReady(node(3).door);
    fleet.eachWay(Relay::heal);
    fleet.awaitView(BOUND_SECONDS, ALL);
  }

  /**
   * All replaced one after the other: each successor is the same member, and no elder's end is a
   * departure.
   */
  @Test
  public void upgradesAreNoDepartures() throws Exception {
    int[] before = new int[SIZE];
    for (int i : ALL) {
      before[i] = node(i).said().length();
    }
    for (int i : ALL) {
      node(i).upgrade();
      fleet.awaitView(BOUND_SECONDS, ALL);
    }
    for (int i : ALL) {
      String since = node(i).said().substring(before[i]);
      assertTrue(since, since.contains("\"restarted\""));
      assertFalse(
          "n" + i + " saw a departure: " + since,
          since.contains("\"left\"") || since.contains("\"died\""));
    }
  }

  /** What is no message of this fleet costs nothing but itself. */
  @Test
  public void garbageIsDroppedAndCounted() throws Exception {
    Claim old =
        new Claim(
            "n1",
            new ProcessGeneration(1, 1),
            0,
            Claim.Status.DEAD,
            new About("hall-a", node(1).address(), About.State.SERVING, "", "", "", 0, false),
            "n9",
            0);
    GossipMessage word = new GossipMessage(GossipMessage.Kind.PING, 1, "n0", "", old, List.of(old));
    byte[] replayed = new FleetCodec(Processes.FLEET).encode(word);
    byte[] foreign = new FleetCodec("other").encode(word);
    Random random = new Random(3);
    try (DatagramSocket s = new DatagramSocket()) {
      for (int i = 0; i < 200; i++) {
        byte[] garbage = new byte[random.nextInt(1_500)];
        random.nextBytes(garbage);
        for (byte[] bytes :
            List.of(
                garbage,
                replayed,
                Arrays.copyOf(replayed, random.nextInt(replayed.length)),
                foreign)) {
          s.send(
              new DatagramPacket(
                  bytes, bytes.length, InetAddress.getLoopbackAddress(), node(0).fleet));
        }
      }
    }
    fleet.awaitView(BOUND_SECONDS, ALL);
    node(0).signal("USR2"); // has it print its counters
    Processes.await(
        "nothing was counted",
        BOUND_SECONDS,
        () ->
            node(0).said().contains("fleet_unreadable=")
                && node(0).said().contains("fleet_foreign="));
  }

  /** Sent away by hand it is gone at once, and comes back with its next start. */
  @Test
  public void leavingByHandIsSaid() throws Exception {
    JsonObject answer =
        com.google.gson.JsonParser.parseString(
                FleetClient.ask("127.0.0.1", node(3).fleet, Frame.Kind.LEAVE))
            .getAsJsonObject();
    assertTrue(answer.get("left").getAsBoolean());
    fleet.awaitView(BOUND_SECONDS, 0, 1, 2, 4, 5);
    assertTrue(node(1).said().lines().anyMatch(l -> l.contains("\"left\"") && l.contains("n3")));
    node(3).kill();
    node(3).start();
    Processes.awaitReady(node(3).door);
  }
}
