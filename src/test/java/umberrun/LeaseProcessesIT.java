package umberrun;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.AfterClass;
import org.junit.Before;
import org.junit.BeforeClass;
import org.junit.FixMethodOrder;
import org.junit.Test;
import org.junit.runners.MethodSorters;
import umberrun.fleet.net.FleetClient;
import umberrun.fleet.net.FleetCodec.Frame;

/**
 * Five processes, three of which vote, hold duties by lease; a stand-in writes down each act with
 * its fence and time.
 */
@FixMethodOrder(MethodSorters.NAME_ASCENDING)
public class LeaseProcessesIT {
  private static final int SIZE = 5;
  private static final int[] ALL = {0, 1, 2, 3, 4};
  private static final long LENGTH_MILLIS = 1_500;

  /**
   * A lease, the wait of others, a second for the agreement, and as long again for a machine that
   * runs much else.
   */
  private static final long BOUND_SECONDS = 12;

  /** An act as it came to the stand-in. */
  private record Act(long atNanos, long fence, String member, String start, boolean taken) {}

  private static final List<Act> ACTS = Collections.synchronizedList(new ArrayList<>());

  /** Fences that acted, over all voters that were founded. */
  private static int hands;

  private static HttpServer receiver;
  private static Processes fleet;

  @BeforeClass
  public static void start() throws Exception {
    receiver = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    receiver.createContext(
        "/v1/beacon",
        x -> {
          JsonObject o =
              JsonParser.parseString(
                      new String(x.getRequestBody().readAllBytes(), StandardCharsets.UTF_8))
                  .getAsJsonObject();
          long fence = o.get("fence").getAsLong();
          boolean taken = ACTS.stream().noneMatch(a -> a.fence > fence);
          ACTS.add(
              new Act(
                  System.nanoTime(),
                  fence,
                  o.get("member").getAsString(),
                  o.get("start").getAsString(),
                  taken));
          x.sendResponseHeaders(taken ? 204 : 409, -1);
          x.close();
        });
    receiver.start();
    fleet =
        new Processes(
            SIZE,
            6,
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
                                    300)),
                        "leases",
                            new TreeMap<>(
                                Map.of(
                                    "voters",
                                    List.of("n0", "n1", "n2"),
                                    "length_ms",
                                    LENGTH_MILLIS,
                                    "state_dir",
                                    Processes.stateDir(i),
                                    "probe_ms",
                                    100,
                                    "beacon",
                                    "127.0.0.1:" + receiver.getAddress().getPort(),
                                    "beacon_ms",
                                    50)))));
    fleet.awaitView(BOUND_SECONDS, ALL);
    assertEquals("", command(3, "found"));
  }

  @AfterClass
  public static void end() throws Exception {
    fleet.close();
    receiver.stop(0);
    Processes.deleteStateDirs();
    assertEquals("calls without their one answer", List.of(), List.copyOf(fleet.faults));
    assertTrue("hardly any calls: " + fleet.served, fleet.served.get() > 500);
    noTwoActAtATime();
    assertTrue("hardly any hands: " + hands, hands >= 4);
  }

  /**
   * One fence is one process's; the acts of two never lie in each other's times; after a greater
   * fence no act is taken.
   */
  private static void noTwoActAtATime() {
    Map<Long, String> whose = new HashMap<>();
    long highest = -1;
    int refused = 0;
    for (Act a : List.copyOf(ACTS)) {
      assertEquals(
          "fence " + a.fence,
          whose.computeIfAbsent(a.fence, f -> a.member + a.start),
          a.member + a.start);
      if (a.taken) {
        assertTrue("fence " + a.fence + " after " + highest, a.fence >= highest);
        highest = a.fence;
      } else {
        refused++;
      }
    }
    assertTrue(
        whose.size() + " hands in " + ACTS.size() + " acts, " + refused + " refused",
        !whose.isEmpty());
    hands += whose.size();
  }

  @Before
  public void whole() throws Exception {
    fleet.eachWay(Relay::heal);
    for (Processes.Node n : fleet.nodes) {
      n.disturbed = false;
    }
    fleet.awaitView(BOUND_SECONDS, ALL);
    awaitHolder(-1);
  }

  private static Processes.Node node(int i) {
    return fleet.nodes.get(i);
  }

  private static JsonObject call(int at, String words) throws IOException {
    return JsonParser.parseString(
            FleetClient.ask("127.0.0.1", node(at).fleet, Frame.Kind.CALL, "leases " + words))
        .getAsJsonObject();
  }

  /** Has something done about the voters; why it was not, or nothing. */
  private static String command(int at, String words) throws Exception {
    JsonObject o = call(at, words);
    if (o.has("fault")) {
      return o.get("fault").getAsString();
    }
    Processes.await(
        words + " does not end", 30, () -> !call(at, "voters").get("busy").getAsBoolean());
    o = call(at, "voters");
    return o.has("not_done") ? o.get("not_done").getAsString() : "";
  }

  private static JsonObject duty(int at, String name) throws IOException {
    JsonArray all = call(at, "show").getAsJsonArray("duties");
    for (JsonElement e : all) {
      if (e.getAsJsonObject().get("duty").getAsString().equals(name)) {
        return e.getAsJsonObject();
      }
    }
    throw new AssertionError(all);
  }

  /** Waits until somebody but one acts, and has done so just now; who. */
  private static int awaitHolder(int but) throws Exception {
    int[] found = {-1};
    int before = ACTS.size();
    Processes.await(
        "nobody acts",
        BOUND_SECONDS,
        () -> {
          int last = ACTS.size() - 1;
          if (last < before) {
            return false;
          }
          Act a = ACTS.get(last);
          found[0] = Integer.parseInt(a.member.substring(1));
          return a.taken && found[0] != but;
        });
    return found[0];
  }

  /** How long nobody acted before the first act of another than one, in milliseconds. */
  private static long gapMillis(String before) {
    List<Act> acts = List.copyOf(ACTS);
    long last = -1;
    for (int i = acts.size() - 1; i > 0; i--) {
      if (!acts.get(i).start.equals(before) && acts.get(i - 1).start.equals(before)) {
        last = (acts.get(i).atNanos - acts.get(i - 1).atNanos) / 1_000_000;
        break;
      }
    }
    return last;
  }

  private static String holderStart() {
    return ACTS.get(ACTS.size() - 1).start;
  }

  private static int figure(String what, long millis) {
    assertTrue(what + ": no change of hands was seen", millis >= 0);
    System.out.println("leases: " + what + " " + millis + " ms");
    return (int) millis;
  }

  /**
   * Stopped past its lease, in the middle of its acts: another has it by then, and what it does
   * once it goes on is refused or not done.
   */
  @Test
  public void aStoppedHolderActsNoMore() throws Exception {
    int holder = awaitHolder(-1);
    String start = holderStart();
    node(holder).signal("STOP");
    int next = awaitHolder(holder);
    figure("stopped, without a holder for", gapMillis(start));
    int before = ACTS.size();
    node(holder).signal("CONT");
    Processes.await("the next one does not go on", BOUND_SECONDS, () -> ACTS.size() > before + 20);
    for (Act a : List.copyOf(ACTS).subList(before, ACTS.size())) {
      assertFalse(a + " of the one that was stopped", a.taken && a.start.equals(start));
    }
    assertTrue(next != holder);
  }

  @Test
  public void aKilledHolderIsFollowedWithinALeaseAndASecond() throws Exception {
    int holder = awaitHolder(-1);
    String start = holderStart();
    node(holder).kill();
    awaitHolder(holder);
    assertTrue(figure("killed, without a holder for", gapMillis(start)) < 4 * LENGTH_MILLIS);
    node(holder).start();
    Processes.awaitReady(node(holder).door);
  }

  /**
   * Cut off from all others, and not from those to whom it acts: it stops by itself before another
   * begins.
   */
  @Test
  public void aHolderThatIsCutOffStopsInTime() throws Exception {
    for (boolean back : new boolean[] {true, false}) {
      int holder = awaitHolder(-1);
      String start = holderStart();
      for (int i : ALL) {
        if (i != holder) {
          fleet.cut(holder, i, true);
          fleet.cut(i, holder, back); // one way alone: what it asks is lost, what others say is not
        }
      }
      awaitHolder(holder);
      assertTrue(figure("cut off, without a holder for", gapMillis(start)) < 4 * LENGTH_MILLIS);
      int at = ACTS.size();
      fleet.eachWay(Relay::heal);
      fleet.awaitView(BOUND_SECONDS, ALL);
      for (Act a : List.copyOf(ACTS).subList(at, ACTS.size())) {
        assertFalse(a.toString(), a.start.equals(start));
      }
    }
  }

  /** Drained, told by hand or replaced: the duty is given back and taken at once. */
  @Test
  public void whatIsGivenBackIsTakenAtOnce() throws Exception {
    int holder = awaitHolder(-1);
    String start = holderStart();
    for (int i = Integer.getInteger("releases", 3); i > 0; i--) {
      call((holder + 1) % SIZE, "release beacon"); // at another's door
      int next = awaitHolder(holder);
      figure("released, without a holder for", gapMillis(start));
      holder = next;
      start = holderStart();
    }
    node(holder).upgrade();
    String elder = start;
    Processes.await("the elder acts on", BOUND_SECONDS, () -> !holderStart().equals(elder));
    figure("replaced, without a holder for", gapMillis(start));
    fleet.awaitView(BOUND_SECONDS, ALL);
  }

  /**
   * One voter of three down, all goes on; two, and the holder stops in time while calls go on;
   * back, all is as before.
   */
  @Test
  public void withoutAMajorityNobodyActs() throws Exception {
    node(0).kill();
    awaitHolder(0);
    node(1).kill();
    long killed = System.nanoTime();
    Processes.await(
        "somebody acts on without a majority",
        BOUND_SECONDS,
        () -> {
          Act last = ACTS.get(ACTS.size() - 1);
          return System.nanoTime() - last.atNanos > 1_000_000L * LENGTH_MILLIS;
        });
    Act last = ACTS.get(ACTS.size() - 1);
    assertTrue(
        "acted for " + (last.atNanos - killed) / 1_000_000 + " ms",
        last.atNanos - killed < 1_000_000L * 2 * LENGTH_MILLIS);
    int served = fleet.served.get();
    Processes.await("calls do not go on", BOUND_SECONDS, () -> fleet.served.get() > served + 50);
    node(0).start();
    node(1).start();
    Processes.awaitReady(node(0).door);
    Processes.awaitReady(node(1).door);
  }

  /**
   * A folder cut short is not voted on, and said so; the voter comes back with a new one by a
   * command, while duties go on.
   */
  @Test
  public void aVoterThatLostItsFolderComesBackByCommand() throws Exception {
    Path store = Path.of(Processes.stateDir(2)).resolve("registers.mv");
    node(2).kill();
    byte[] bytes = Files.readAllBytes(store);
    Files.write(
        store,
        java.util.Arrays.copyOf(bytes, bytes.length / 2),
        StandardOpenOption.TRUNCATE_EXISTING);
    node(2).start();
    Processes.awaitReady(node(2).door);
    Processes.await(
        "it votes, or does not say why",
        BOUND_SECONDS,
        () -> !call(2, "voters").get("why_not").getAsString().isEmpty());
    fleet.awaitView(BOUND_SECONDS, ALL);
    String before = call(0, "voters").get("voters").toString();
    assertEquals("", command(1, "replace n2 n2"));
    String after = call(1, "voters").get("voters").toString();
    assertTrue(
        before + after,
        !after.equals(before) && after.contains("n2#") && after.split(",").length == 3);
    awaitHolder(-1);
    Processes.await(
        "it does not vote",
        BOUND_SECONDS,
        () -> call(2, "voters").get("why_not").getAsString().isEmpty());
  }

  /** A voter is replaced by another while a lease is renewed: nobody loses it. */
  @Test
  public void aVoterIsReplacedWhileALeaseIsRenewed() throws Exception {
    awaitHolder(-1);
    long fence = ACTS.get(ACTS.size() - 1).fence;
    assertEquals("", command(4, "replace n0 n3"));
    assertTrue(command(4, "replace n0 n3").contains("does not vote"));
    int before = ACTS.size();
    Processes.await("nobody acts", BOUND_SECONDS, () -> ACTS.size() > before + 40);
    assertEquals("it changed hands", fence, ACTS.get(ACTS.size() - 1).fence);
    assertEquals("", command(2, "replace n3 n0"));
  }

  /**
   * Who orders a replacement is killed in the middle of it: the voters go on with it by themselves.
   */
  @Test
  public void aReplacementWhoseCommandDiedIsGoneOnWith() throws Exception {
    fleet.eachWay(r -> r.delayMillis = 250); // so that the middle lasts
    assertFalse(call(4, "replace n2 n3").has("fault"));
    Processes.await(
        "it does not begin",
        BOUND_SECONDS,
        () -> !call(0, "voters").get("leaving").getAsString().isEmpty());
    node(4).kill();
    fleet.eachWay(Relay::heal);
    Processes.await(
        "nobody goes on with it",
        4 * BOUND_SECONDS,
        () -> call(0, "voters").get("leaving").getAsString().isEmpty());
    String voters = call(0, "voters").get("voters").toString();
    assertTrue(voters, voters.contains("n3#") && !voters.contains("n2#"));
    assertTrue(
        "nobody says so",
        fleet.nodes.stream().anyMatch(n -> says(n, "goes on with the replacement of n2#")));
    node(4).start();
    Processes.awaitReady(node(4).door);
    assertEquals("", command(1, "replace n3 n2"));
  }

  private static boolean says(Processes.Node n, String what) {
    try {
      return n.said().contains(what);
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  /**
   * All folders put aside: nobody votes and calls go on, until a set is founded anew; receivers
   * begin anew with it.
   */
  @Test
  public void withAllFoldersGoneVotersAreFoundedAnew() throws Exception {
    noTwoActAtATime();
    for (Processes.Node n : fleet.nodes) {
      n.kill();
    }
    for (int i : ALL) { // also of those that have voted only for a while: they know of voters
      Path folder = Path.of(Processes.stateDir(i));
      if (Files.exists(folder)) {
        Files.move(folder, folder.resolveSibling("aside" + i));
      }
    }
    for (Processes.Node n : fleet.nodes) {
      n.start();
    }
    for (Processes.Node n : fleet.nodes) {
      Processes.awaitReady(n.door);
    }
    fleet.awaitView(BOUND_SECONDS, ALL);
    assertFalse(call(0, "voters").get("why_not").getAsString().isEmpty());
    int served = fleet.served.get();
    int acts = ACTS.size();
    Processes.await("calls do not go on", BOUND_SECONDS, () -> fleet.served.get() > served + 50);
    assertEquals("somebody acts without voters", acts, ACTS.size());
    ACTS.clear(); // as a restart of the receiver does: it would refuse fences that begin anew
    assertEquals("", command(4, "found"));
    awaitHolder(-1);
  }

  /**
   * All killed at once and started again: what was agreed still is, and the next fence is greater.
   */
  @Test
  public void allKilledAtOnceComeBack() throws Exception {
    long fence = ACTS.get(ACTS.size() - 1).fence;
    for (Processes.Node n : fleet.nodes) {
      n.kill();
    }
    for (Processes.Node n : fleet.nodes) {
      n.start();
    }
    for (Processes.Node n : fleet.nodes) {
      Processes.awaitReady(n.door);
    }
    fleet.awaitView(BOUND_SECONDS, ALL);
    awaitHolder(-1);
    assertTrue(ACTS.get(ACTS.size() - 1).fence > fence);
    assertTrue(call(4, "register duty/beacon").get("text").getAsString().contains("n"));
  }

  /** The hall's prober finds a worker that says nothing, and one that is back, for all. */
  @Test
  public void aSilentWorkerIsFoundByOneForAll() throws Exception {
    for (String hall : List.of("hall-a", "hall-b", "hall-c")) {
      Processes.await(
          "nobody probes " + hall,
          BOUND_SECONDS,
          () -> !duty(0, "probe/" + hall).get("holder").getAsString().isEmpty());
    }
    Scenario.Worker worker = fleet.workers.get(0); // in hall-a
    int before = worker.probes.get();
    int acts = ACTS.size();
    Processes.await("it is not probed", BOUND_SECONDS, () -> worker.probes.get() > before + 20);
    int probed = worker.probes.get() - before;
    assertTrue(
        probed + " probes beside " + (ACTS.size() - acts) + " acts twice as often",
        probed < 1.5 * (ACTS.size() - acts));
    int[] said = new int[SIZE];
    for (int i : ALL) {
      said[i] = node(i).said().length();
    }
    worker.silent = true;
    long fell = System.nanoTime();
    for (int i : ALL) {
      Processes.await(
          "n" + i + " does not bench it",
          BOUND_SECONDS,
          () -> node(i).said().substring(said[i]).contains("benched"));
    }
    figure("all five had benched a silent worker after", (System.nanoTime() - fell) / 1_000_000);
    worker.silent = false;
  }
}
