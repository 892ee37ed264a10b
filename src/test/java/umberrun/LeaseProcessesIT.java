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
 * Five processes, three of which vote, hold duties by lease. The holder of the duty {@code beacon}
 * sends reports to a test server, which records each report (an act) with its fence and time. Under
 * each fence only one process may act.
 */
@FixMethodOrder(MethodSorters.NAME_ASCENDING)
public class LeaseProcessesIT {
  private static final int PROCESS_COUNT = 5;
  private static final int[] ALL = {0, 1, 2, 3, 4};
  private static final long LEASE_MILLIS = 1_500;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Stands for any process where a number of a process is expected. */
  private static final int ANY = -1;

  /**
   * A lease, the wait of the other candidates, a second for consensus, and as long again for a
   * machine under load.
   */
  private static final long TIMEOUT_SECONDS = 12;

  /**
   * An act as the receiver got it.
   *
   * @param member name of the process that acted
   * @param start id that tells this process from others of the same name
   * @param accepted false if an act of a higher fence had been received before
   */
  private record Act(long atNanos, long fence, String member, String start, boolean accepted) {}

  private static final List<Act> ACTS = Collections.synchronizedList(new ArrayList<>());

  /** Number of fences under which processes acted, over all bootstraps of the voters. */
  private static int actingFences;

  private static HttpServer receiver;
  private static Processes fleet;

  @BeforeClass
  public static void start() throws Exception {
    receiver = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    receiver.createContext(
        "/v1/beacon",
        exchange -> {
          JsonObject report =
              JsonParser.parseString(
                      new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8))
                  .getAsJsonObject();
          long fence = report.get("fence").getAsLong();
          boolean accepted = ACTS.stream().noneMatch(a -> a.fence > fence);
          ACTS.add(
              new Act(
                  System.nanoTime(),
                  fence,
                  report.get("member").getAsString(),
                  report.get("start").getAsString(),
                  accepted));
          exchange.sendResponseHeaders(accepted ? 204 : 409, -1);
          exchange.close();
        });
    receiver.start();
    fleet =
        new Processes(
            PROCESS_COUNT,
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
                                    LEASE_MILLIS,
                                    "state_dir",
                                    Processes.stateDir(i),
                                    "probe_ms",
                                    100,
                                    "beacon",
                                    "127.0.0.1:" + receiver.getAddress().getPort(),
                                    "beacon_ms",
                                    50)))));
    fleet.awaitView(TIMEOUT_SECONDS, ALL);
    assertEquals("", command(3, "found"));
  }

  @AfterClass
  public static void end() throws Exception {
    fleet.close();
    receiver.stop(0);
    Processes.deleteStateDirs();
    assertEquals("calls without exactly one answer", List.of(), List.copyOf(fleet.faults));
    assertTrue("too few calls: " + fleet.served, fleet.served.get() > 500);
    assertActsAreExclusive();
    assertTrue("too few fences acted: " + actingFences, actingFences >= 4);
  }

  /**
   * Checks that only one process acted under each fence, and that no act was accepted after one of
   * a higher fence, so that the accepted acts of two fences never interleave.
   */
  private static void assertActsAreExclusive() {
    Map<Long, String> actorByFence = new HashMap<>();
    long highestFence = -1;
    int refused = 0;
    for (Act act : List.copyOf(ACTS)) {
      assertEquals(
          "fence " + act.fence,
          actorByFence.computeIfAbsent(act.fence, f -> act.member + act.start),
          act.member + act.start);
      if (act.accepted) {
        assertTrue("fence " + act.fence + " after " + highestFence, act.fence >= highestFence);
        highestFence = act.fence;
      } else {
        refused++;
      }
    }
    assertTrue(
        actorByFence.size() + " fences in " + ACTS.size() + " acts, " + refused + " refused",
        !actorByFence.isEmpty());
    actingFences += actorByFence.size();
  }

  /** Undoes the faults of the test before. */
  @Before
  public void heal() throws Exception {
    fleet.forEachRelay(Relay::heal);
    for (Processes.Node n : fleet.nodes) {
      n.disturbed = false;
    }
    fleet.awaitView(TIMEOUT_SECONDS, ALL);
    awaitHolder(ANY);
  }

  private static Processes.Node node(int i) {
    return fleet.nodes.get(i);
  }

  /** Sends an operator's call to a process. */
  private static JsonObject call(int at, String words) throws IOException {
    return JsonParser.parseString(
            FleetClient.ask("127.0.0.1", node(at).fleetPort, Frame.Kind.CALL, "leases " + words))
        .getAsJsonObject();
  }

  /**
   * Runs a command on the set of voters and waits for its end.
   *
   * @return why it failed, or an empty string
   */
  private static String command(int at, String words) throws Exception {
    JsonObject answer = call(at, words);
    if (answer.has("fault")) {
      return answer.get("fault").getAsString();
    }
    Processes.await(
        words + " does not end", 30, () -> !call(at, "voters").get("busy").getAsBoolean());
    answer = call(at, "voters");
    return answer.has("not_done") ? answer.get("not_done").getAsString() : "";
  }

  /** Status of a duty as a process reports it. */
  private static JsonObject duty(int at, String name) throws IOException {
    JsonArray duties = call(at, "show").getAsJsonArray("duties");
    for (JsonElement e : duties) {
      if (e.getAsJsonObject().get("duty").getAsString().equals(name)) {
        return e.getAsJsonObject();
      }
    }
    throw new AssertionError(duties);
  }

  /**
   * Waits until the newest act is from now on, was accepted and is not from a given process.
   *
   * @param excluded number of that process, or {@link #ANY} to accept any holder
   * @return number of the process that acted
   */
  private static int awaitHolder(int excluded) throws Exception {
    int[] found = {ANY};
    int before = ACTS.size();
    Processes.await(
        "nobody acts",
        TIMEOUT_SECONDS,
        () -> {
          int last = ACTS.size() - 1;
          if (last < before) {
            return false;
          }
          Act a = ACTS.get(last);
          found[0] = Integer.parseInt(a.member.substring(1));
          return a.accepted && found[0] != excluded;
        });
    return found[0];
  }

  /**
   * Time between the last act of a process and the next one of another process, in milliseconds, or
   * -1 if there is no such pair of acts.
   */
  private static long gapMillis(String previousStart) {
    List<Act> acts = List.copyOf(ACTS);
    long gap = -1;
    for (int i = acts.size() - 1; i > 0; i--) {
      if (!acts.get(i).start.equals(previousStart) && acts.get(i - 1).start.equals(previousStart)) {
        gap = (acts.get(i).atNanos - acts.get(i - 1).atNanos) / NANOS_PER_MILLI;
        break;
      }
    }
    return gap;
  }

  /** Start id of the process that acted last. */
  private static String holderStart() {
    return ACTS.get(ACTS.size() - 1).start;
  }

  /** Prints a duration that a test has measured. */
  private static int figure(String what, long millis) {
    assertTrue(what + ": no change of holder was seen", millis >= 0);
    System.out.println("leases: " + what + " " + millis + " ms");
    return (int) millis;
  }

  /**
   * A holder that is suspended past its lease: another has taken the duty by then, and acts of the
   * first after it resumes are refused or not sent.
   */
  @Test
  public void aStoppedHolderActsNoMore() throws Exception {
    int holder = awaitHolder(ANY);
    String start = holderStart();
    node(holder).signal("STOP");
    int next = awaitHolder(holder);
    figure("stopped, without a holder for", gapMillis(start));
    int before = ACTS.size();
    node(holder).signal("CONT");
    Processes.await(
        "the next holder does not act on", TIMEOUT_SECONDS, () -> ACTS.size() > before + 20);
    for (Act a : List.copyOf(ACTS).subList(before, ACTS.size())) {
      assertFalse(a + " of the suspended holder", a.accepted && a.start.equals(start));
    }
    assertTrue(next != holder);
  }

  /** A killed holder is replaced once its lease has expired. */
  @Test
  public void aKilledHolderIsFollowedWithinALeaseAndASecond() throws Exception {
    int holder = awaitHolder(ANY);
    String start = holderStart();
    node(holder).kill();
    awaitHolder(holder);
    assertTrue(figure("killed, without a holder for", gapMillis(start)) < 4 * LEASE_MILLIS);
    node(holder).start();
    Processes.awaitReady(node(holder).operatorPort);
  }

  /**
   * A holder that is cut off from all other processes, but not from the receiver of its acts, stops
   * before another one starts. The cut is in both directions first, then in one.
   */
  @Test
  public void aHolderThatIsCutOffStopsInTime() throws Exception {
    for (boolean bothWays : new boolean[] {true, false}) {
      int holder = awaitHolder(ANY);
      String start = holderStart();
      for (int i : ALL) {
        if (i != holder) {
          fleet.cut(holder, i, true);
          // Otherwise only the requests of the holder are lost, and it still hears the others.
          fleet.cut(i, holder, bothWays);
        }
      }
      awaitHolder(holder);
      assertTrue(figure("cut off, without a holder for", gapMillis(start)) < 4 * LEASE_MILLIS);
      int actsBefore = ACTS.size();
      fleet.forEachRelay(Relay::heal);
      fleet.awaitView(TIMEOUT_SECONDS, ALL);
      for (Act a : List.copyOf(ACTS).subList(actsBefore, ACTS.size())) {
        assertFalse(a.toString(), a.start.equals(start));
      }
    }
  }

  /**
   * A holder that is told to release the duty, or is replaced by an upgrade, gives it back at once.
   */
  @Test
  public void whatIsGivenBackIsTakenAtOnce() throws Exception {
    int holder = awaitHolder(ANY);
    String start = holderStart();
    for (int i = Integer.getInteger("releases", 3); i > 0; i--) {
      // The call goes to a process that does not hold the duty.
      call((holder + 1) % PROCESS_COUNT, "release beacon");
      int next = awaitHolder(holder);
      figure("released, without a holder for", gapMillis(start));
      holder = next;
      start = holderStart();
    }
    node(holder).upgrade();
    String replacedStart = start;
    Processes.await(
        "the replaced process acts on",
        TIMEOUT_SECONDS,
        () -> !holderStart().equals(replacedStart));
    figure("replaced, without a holder for", gapMillis(start));
    fleet.awaitView(TIMEOUT_SECONDS, ALL);
  }

  /**
   * Duties go on with one of three voters down. With two down the holder stops in time while calls
   * go on.
   */
  @Test
  public void withoutAMajorityNobodyActs() throws Exception {
    node(0).kill();
    awaitHolder(0);
    node(1).kill();
    long killed = System.nanoTime();
    Processes.await(
        "a process still acts without a majority",
        TIMEOUT_SECONDS,
        () -> {
          Act last = ACTS.get(ACTS.size() - 1);
          return System.nanoTime() - last.atNanos > NANOS_PER_MILLI * LEASE_MILLIS;
        });
    Act last = ACTS.get(ACTS.size() - 1);
    assertTrue(
        "acted for " + (last.atNanos - killed) / NANOS_PER_MILLI + " ms",
        last.atNanos - killed < NANOS_PER_MILLI * 2 * LEASE_MILLIS);
    int served = fleet.served.get();
    Processes.await("calls do not go on", TIMEOUT_SECONDS, () -> fleet.served.get() > served + 50);
    node(0).start();
    node(1).start();
    Processes.awaitReady(node(0).operatorPort);
    Processes.awaitReady(node(1).operatorPort);
  }

  /**
   * A voter whose folder is truncated does not vote and reports why. A command lets it vote again
   * with a new folder, while duties go on.
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
    Processes.awaitReady(node(2).operatorPort);
    Processes.await(
        "it votes, or does not report why not",
        TIMEOUT_SECONDS,
        () -> !call(2, "voters").get("why_not").getAsString().isEmpty());
    fleet.awaitView(TIMEOUT_SECONDS, ALL);
    String before = call(0, "voters").get("voters").toString();
    assertEquals("", command(1, "replace n2 n2"));
    String after = call(1, "voters").get("voters").toString();
    assertTrue(
        before + after,
        !after.equals(before) && after.contains("n2#") && after.split(",").length == 3);
    awaitHolder(ANY);
    Processes.await(
        "it does not vote",
        TIMEOUT_SECONDS,
        () -> call(2, "voters").get("why_not").getAsString().isEmpty());
  }

  /** A voter is replaced by another while a lease is renewed: the holder keeps the lease. */
  @Test
  public void aVoterIsReplacedWhileALeaseIsRenewed() throws Exception {
    awaitHolder(ANY);
    long fence = ACTS.get(ACTS.size() - 1).fence;
    assertEquals("", command(4, "replace n0 n3"));
    assertTrue(command(4, "replace n0 n3").contains("does not vote"));
    int before = ACTS.size();
    Processes.await("nobody acts", TIMEOUT_SECONDS, () -> ACTS.size() > before + 40);
    assertEquals("the holder has changed", fence, ACTS.get(ACTS.size() - 1).fence);
    assertEquals("", command(2, "replace n3 n0"));
  }

  /**
   * The process that runs the replacement of a voter is killed in the middle of it: another one
   * completes the replacement.
   */
  @Test
  public void aReplacementWhoseCommandDiedIsGoneOnWith() throws Exception {
    // Slows the replacement down, so that the kill comes in the middle of it.
    fleet.forEachRelay(r -> r.delayMillis = 250);
    assertFalse(call(4, "replace n2 n3").has("fault"));
    Processes.await(
        "the replacement does not start",
        TIMEOUT_SECONDS,
        () -> !call(0, "voters").get("leaving").getAsString().isEmpty());
    node(4).kill();
    fleet.forEachRelay(Relay::heal);
    Processes.await(
        "nobody completes the replacement",
        4 * TIMEOUT_SECONDS,
        () -> call(0, "voters").get("leaving").getAsString().isEmpty());
    String voters = call(0, "voters").get("voters").toString();
    assertTrue(voters, voters.contains("n3#") && !voters.contains("n2#"));
    assertTrue(
        "no log mentions it",
        fleet.nodes.stream().anyMatch(n -> logged(n, "goes on with the replacement of n2#")));
    node(4).start();
    Processes.awaitReady(node(4).operatorPort);
    assertEquals("", command(1, "replace n3 n2"));
  }

  /** Whether a process has logged a text. */
  private static boolean logged(Processes.Node n, String text) {
    try {
      return n.output().contains(text);
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  /**
   * With all folders lost nobody votes and no duty is held, but calls go on, until a new set of
   * voters is created. Fences start again with it, so receivers must forget the old ones.
   */
  @Test
  public void withAllFoldersGoneVotersAreFoundedAnew() throws Exception {
    assertActsAreExclusive();
    for (Processes.Node n : fleet.nodes) {
      n.kill();
    }
    // Also the folders of processes that voted only for a while, as these know the voters.
    for (int i : ALL) {
      Path folder = Path.of(Processes.stateDir(i));
      if (Files.exists(folder)) {
        Files.move(folder, folder.resolveSibling("aside" + i));
      }
    }
    for (Processes.Node n : fleet.nodes) {
      n.start();
    }
    for (Processes.Node n : fleet.nodes) {
      Processes.awaitReady(n.operatorPort);
    }
    fleet.awaitView(TIMEOUT_SECONDS, ALL);
    assertFalse(call(0, "voters").get("why_not").getAsString().isEmpty());
    int served = fleet.served.get();
    int acts = ACTS.size();
    Processes.await("calls do not go on", TIMEOUT_SECONDS, () -> fleet.served.get() > served + 50);
    assertEquals("a process acts without voters", acts, ACTS.size());
    // As a restart of the receiver does, which would otherwise refuse the new, lower fences.
    ACTS.clear();
    assertEquals("", command(4, "found"));
    awaitHolder(ANY);
  }

  /**
   * After all processes were killed and restarted, the registers are intact and the fence grows.
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
      Processes.awaitReady(n.operatorPort);
    }
    fleet.awaitView(TIMEOUT_SECONDS, ALL);
    awaitHolder(ANY);
    assertTrue(ACTS.get(ACTS.size() - 1).fence > fence);
    assertTrue(call(4, "register duty/beacon").get("text").getAsString().contains("n"));
  }

  /** One process probes a hall's workers for all, which then all bench a silent worker. */
  @Test
  public void aSilentWorkerIsFoundByOneForAll() throws Exception {
    for (String hall : List.of("hall-a", "hall-b", "hall-c")) {
      Processes.await(
          "nobody probes " + hall,
          TIMEOUT_SECONDS,
          () -> !duty(0, "probe/" + hall).get("holder").getAsString().isEmpty());
    }
    // This worker is in hall-a.
    Scenario.Worker worker = fleet.workers.get(0);
    int probesBefore = worker.probes.get();
    int actsBefore = ACTS.size();
    Processes.await(
        "it is not probed", TIMEOUT_SECONDS, () -> worker.probes.get() > probesBefore + 20);
    int probed = worker.probes.get() - probesBefore;
    assertTrue(
        probed
            + " probes during "
            + (ACTS.size() - actsBefore)
            + " acts, which are twice as frequent",
        probed < 1.5 * (ACTS.size() - actsBefore));
    int[] logLengths = new int[PROCESS_COUNT];
    for (int i : ALL) {
      logLengths[i] = node(i).output().length();
    }
    worker.answersNothing = true;
    long silentSince = System.nanoTime();
    for (int i : ALL) {
      Processes.await(
          "n" + i + " does not bench it",
          TIMEOUT_SECONDS,
          () -> node(i).output().substring(logLengths[i]).contains("benched"));
    }
    figure(
        "all five had benched a silent worker after",
        (System.nanoTime() - silentSince) / NANOS_PER_MILLI);
    worker.answersNothing = false;
  }
}
