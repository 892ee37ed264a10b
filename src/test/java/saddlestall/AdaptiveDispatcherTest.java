package saddlestall;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static saddlestall.DispatcherFixture.DEDUPLICATED_CLASS;
import static saddlestall.DispatcherFixture.IDEMPOTENT_CLASS;
import static saddlestall.DispatcherFixture.MILLISECOND;
import static saddlestall.DispatcherFixture.NOT_IDEMPOTENT_CLASS;
import static saddlestall.DispatcherFixture.SECOND;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import saddlestall.Dispatcher.*;

/** Rule by rule, and failure by failure. */
class AdaptiveDispatcherTest {
  private static DispatcherFixture fixture() {
    return new DispatcherFixture(DispatcherFixture.settings(false, DedupScope.ALL), 7);
  }

  // ---------------------------------------------------------------- rules 1 and 2

  @ParameterizedTest
  @EnumSource(
      value = OutcomeCode.class,
      names = {"OK", "CANCELLED", "MOOT"},
      mode = EnumSource.Mode.EXCLUDE)
  void unsafeCallsGoOnOnlyWhenNothingRan(OutcomeCode code) {
    DispatcherFixture fixture = fixture().list(4).call(1, NOT_IDEMPOTENT_CLASS, 9);
    fixture.at(20).outcome(fixture.lastSend(), 0, code, 20);
    assertEquals(code.notRun ? 2 : 1, fixture.sends(1).size());
    assertEquals(!code.notRun, fixture.failed(1));
    assertFalse(fixture.refused(1));
  }

  @ParameterizedTest
  @EnumSource(
      value = OutcomeCode.class,
      names = {"ERROR", "FULL", "CONNECT_FAILED", "RESET", "MISS"})
  void safeCallsGoOnElsewhere(OutcomeCode code) {
    DispatcherFixture fixture = fixture().list(4).call(1, IDEMPOTENT_CLASS, 9);
    Send first = fixture.lastSend();
    fixture.at(20).outcome(first, 0, code, 20);
    assertEquals(2, fixture.sends(1).size());
    assertFalse(first.worker() == fixture.lastSend().worker());
  }

  @Test
  void keyedCallsStayInTheirCellAndTime() {
    for (long seed = 0; seed < 20; seed++) {
      DispatcherFixture fixture =
          new DispatcherFixture(DispatcherFixture.settings(false, DedupScope.CELL), seed)
              .list(6)
              .call(1, DEDUPLICATED_CLASS, 9);
      Send first = fixture.lastSend();
      fixture.at(20).outcome(first, 0, OutcomeCode.ERROR, 20);
      assertEquals(2, fixture.sends(1).size());
      assertEquals(first.worker() % 2, fixture.lastSend().worker() % 2);
      fixture.at(1100).outcome(fixture.lastSend(), 1, OutcomeCode.ERROR, 1100);
      fixture.pass(1400).event(new TimerFired(1));
      assertEquals(2, fixture.sends(1).size());
      assertTrue(fixture.failed(1));
    }
  }

  @Test
  void theDeadlineGetsItsAnswer() {
    DispatcherFixture fixture =
        fixture().list(4).call(1, NOT_IDEMPOTENT_CLASS, 9).call(2, IDEMPOTENT_CLASS, 9);
    fixture.at(2500).event(new TimerFired(1)).event(new TimerFired(2));
    assertTrue(fixture.failed(1));
    assertTrue(fixture.refused(2));
    int before = fixture.actions.size();
    fixture.at(1).outcome(fixture.sends(1).get(0), 0, OutcomeCode.TIMEOUT, 2501);
    assertEquals(before, fixture.actions.size());
  }

  @Test
  void withNothingPermittedACallIsHeldThenRefused() {
    DispatcherFixture fixture = fixture().call(1, NOT_IDEMPOTENT_CLASS, 9);
    assertTrue(fixture.sends(1).isEmpty());
    fixture.at(100).list(2);
    assertEquals(1, fixture.sends(1).size());
    DispatcherFixture none = fixture().call(1, NOT_IDEMPOTENT_CLASS, 9).pass(2500);
    assertTrue(none.event(new TimerFired(1)).refused(1));
  }

  @Test
  void attemptsAreLimited() {
    DispatcherFixture fixture = fixture().list(8).call(1, IDEMPOTENT_CLASS, 9);
    for (int i = 0; i < 4; i++) {
      fixture.at(5).outcome(fixture.lastSend(), i, OutcomeCode.CONNECT_FAILED, 5);
    }
    assertEquals(4, fixture.sends(1).size());
    assertTrue(fixture.refused(1));
  }

  @Test
  void strayEventsAreIgnored() {
    DispatcherFixture fixture = fixture().list(2);
    int before = fixture.actions.size();
    fixture
        .event(new AttemptOutcome(5, 0, 1, OutcomeCode.OK, 5, true, CopyStatus.NONE, -1, null))
        .event(new TimerFired(77))
        .event(new ClientDisconnected(8))
        .event(new ProbeResult(1, 99, OutcomeCode.OK, null))
        .event(new PreloadResult(1, 1, 99, OutcomeCode.OK, 3))
        .event(new StreamStarted(5, 0, 1))
        .event(new PeerMessage(1, new byte[3]));
    assertEquals(before, fixture.actions.size());
  }

  // ---------------------------------------------------------------- rules 3, 4 and 5

  @Test
  void drainingAndGoneWorkersGetNothing() {
    DispatcherFixture fixture = fixture().list(3);
    fixture.event(
        new WorkerListUpdate(
            ListKind.DELTA, List.of(DispatcherFixture.entry(1, WorkerState.DRAINING, 0))));
    fixture.event(
        new WorkerListUpdate(
            ListKind.FULL,
            List.of(
                DispatcherFixture.entry(1, WorkerState.DRAINING, 0),
                DispatcherFixture.entry(3, WorkerState.READY, 0))));
    for (int i = 0; i < 50; i++) {
      fixture.call(i, IDEMPOTENT_CLASS, i);
    }
    assertTrue(fixture.all(Send.class).stream().allMatch(s -> s.worker() == 3));
    assertFalse(fixture.all(Send.class).isEmpty());
  }

  @Test
  void aColdWorkerGetsItsShareOnly() {
    DispatcherFixture fixture = fixture().list(3);
    fixture.event(
        new WorkerListUpdate(
            ListKind.DELTA, List.of(DispatcherFixture.entry(9, WorkerState.READY, fixture.now))));
    int id = 0;
    for (int round = 0; round < 40; round++) { // two seconds, forty calls a second
      for (int k = 0; k < 2; k++) {
        fixture.call(++id, IDEMPOTENT_CLASS, id % 20);
        if (!fixture.sends(id).isEmpty()) {
          fixture.outcome(fixture.lastSend(), 0, OutcomeCode.OK, 1);
        }
      }
      fixture.pass(50);
    }
    long cold = fixture.all(Send.class).stream().filter(s -> s.worker() == 9).count();
    // Warm workers bear about 27 in two seconds; a cold one may get 3 x 15% of what they do.
    assertTrue(cold <= 12, "sent " + cold);
  }

  @Test
  void ordersToLoadKeepTheirRation() {
    DispatcherFixture fixture =
        new DispatcherFixture(DispatcherFixture.settings(true, DedupScope.ALL), 3).list(12);
    for (int id = 1; id <= 300; id++) {
      fixture
          .at(10)
          .event(new TimerFired(-1))
          .call(id, IDEMPOTENT_CLASS, id % 2); // much demand for two functions: many homes
      if (!fixture.sends(id).isEmpty()) {
        fixture.outcome(fixture.lastSend(), 0, OutcomeCode.OK, 400);
      }
    }
    int orders = fixture.all(Preload.class).size();
    assertTrue(orders > 2, "orders " + orders);
    assertTrue(orders <= 2 + 0.15 * 300, "orders " + orders);
  }

  // ---------------------------------------------------------------- the draw

  @Test
  void aWarmFreeWorkerWinsNearlyEveryDraw() {
    DispatcherFixture fixture = fixture().list(6).call(1, IDEMPOTENT_CLASS, 9);
    int warm = fixture.lastSend().worker();
    fixture.at(500).outcome(fixture.lastSend(), 0, OutcomeCode.OK, 500);
    int same = 0;
    for (int id = 2; id < 102; id++) {
      fixture.at(40).call(id, IDEMPOTENT_CLASS, 9);
      same += fixture.lastSend().worker() == warm ? 1 : 0;
      fixture.at(40).outcome(fixture.lastSend(), 0, OutcomeCode.OK, 40);
    }
    assertTrue(same >= 90, "warm " + same);
  }

  @Test
  void aWorkerWithManyOwnCallsLosesItsDraws() {
    DispatcherFixture fixture = fixture().list(6).call(1, IDEMPOTENT_CLASS, 9);
    int warm = fixture.lastSend().worker();
    fixture.at(500).outcome(fixture.lastSend(), 0, OutcomeCode.OK, 500);
    for (int id = 2; id < 14; id++) {
      fixture.call(id, IDEMPOTENT_CLASS, 9);
    }
    long others = fixture.all(Send.class).stream().skip(1).filter(s -> s.worker() != warm).count();
    assertTrue(others >= 4, "others " + others);
  }

  /**
   * With calls of our own at the worker of the only copy that was seen, the next ones rather load
   * elsewhere.
   */
  @Test
  void ownCallsWeighAgainstAWarmCopy() {
    int others = 0;
    for (int seed = 1; seed <= 40; seed++) {
      DispatcherFixture fixture =
          new DispatcherFixture(DispatcherFixture.settings(false, DedupScope.ALL), seed)
              .list(6)
              .call(1, IDEMPOTENT_CLASS, 9);
      int warm = fixture.lastSend().worker();
      fixture.at(500).outcome(fixture.lastSend(), 0, OutcomeCode.OK, 500);
      for (int id = 2; id < 14; id++) {
        fixture.call(id, IDEMPOTENT_CLASS, 9);
      }
      others += fixture.all(Send.class).stream().skip(1).filter(s -> s.worker() != warm).count();
    }
    assertTrue(others >= 270, "others " + others);
  }

  /** A worker that the plan gives more than its peers is left to the functions it is home to. */
  @Test
  void thePlanKeepsAFunctionAtItsHome() {
    int most = 0;
    for (int seed = 1; seed <= 20; seed++) {
      DispatcherFixture fixture = oneBusyFunction(2, seed);
      int[] at = new int[7];
      fixture.all(Send.class).stream()
          .filter(s -> s.call() > 150 && s.call() % 6 == 0)
          .forEach(s -> at[s.worker()]++);
      most += Arrays.stream(at).max().orElse(0);
    }
    assertTrue(most >= 202, "at the most used worker " + most);
  }

  /**
   * A function that asks for more than half of what a worker has to do gets a further home, loaded
   * beforehand.
   */
  @Test
  void aBusyFunctionHasAFurtherHome() {
    int ordered = 0;
    for (int seed = 1; seed <= 20; seed++) {
      ordered +=
          oneBusyFunction(32, seed).all(Preload.class).stream().anyMatch(h -> h.function() == 1)
              ? 1
              : 0;
    }
    assertTrue(ordered >= 5, "ordered by " + ordered);
  }

  /** Fifteen seconds of calls, one in six of them for function 1; copies have so many lanes. */
  private static DispatcherFixture oneBusyFunction(int lanes, int seed) {
    DispatcherFixture fixture =
        new DispatcherFixture(DispatcherFixture.settings(true, DedupScope.ALL), seed).list(6);
    for (int id = 1; id <= 300; id++) {
      fixture.event(
          new CallArrival(
              id,
              2500 * MILLISECOND,
              0,
              id % 6 == 0 ? 1 : id % 40 + 2,
              lanes,
              300,
              IDEMPOTENT_CLASS,
              0,
              false,
              false,
              500 * MILLISECOND));
      fixture.pass(50);
      fixture.sends(id).forEach(send -> fixture.outcome(send, 0, OutcomeCode.OK, 150));
    }
    return fixture;
  }

  @Test
  void aLoadThatOutlastsTheCallIsPassedOver() {
    DispatcherFixture fixture =
        fixture()
            .list(4)
            .event(
                new CallArrival(
                    1,
                    400 * MILLISECOND,
                    0,
                    9,
                    2,
                    300,
                    NOT_IDEMPOTENT_CLASS,
                    0,
                    false,
                    false,
                    900 * MILLISECOND));
    assertTrue(fixture.sends(1).isEmpty());
    fixture.at(400).event(new TimerFired(1));
    assertTrue(fixture.refused(1));
  }

  @Test
  void frontEndsAgreeOnHomesUnasked() {
    for (long function = 1; function < 30; function++) {
      int first =
          new DispatcherFixture(DispatcherFixture.settings(false, DedupScope.ALL), 1)
              .list(8)
              .call(1, IDEMPOTENT_CLASS, function)
              .lastSend()
              .worker();
      int votes = 0;
      for (long seed = 2; seed < 12; seed++) {
        DispatcherFixture fixture =
            new DispatcherFixture(DispatcherFixture.settings(false, DedupScope.ALL), seed)
                .list(8)
                .call(1, IDEMPOTENT_CLASS, function);
        votes += fixture.lastSend().worker() == first ? 1 : 0;
      }
      assertTrue(votes >= 5, "function " + function + ": " + votes);
    }
  }

  // ---------------------------------------------------------------- learning

  /**
   * A constructed payoff: calls cost most of their time wherever own calls are few, so that weight
   * must rise.
   */
  @Test
  void weightsFollowAConstructedPayoff() {
    DispatcherFixture paid = learn(true);
    DispatcherFixture unpaid = learn(false);
    double gain =
        paid.dispatcher.weights[7]
            - unpaid.dispatcher.weights[7]; // the own hall, paid in one of the two
    assertTrue(gain > 0, "gain " + gain);
  }

  private static DispatcherFixture learn(boolean homeHallPays) {
    DispatcherFixture fixture = fixture().list(9);
    for (int id = 1; id < 1500; id++) {
      fixture.at(30).call(id, IDEMPOTENT_CLASS, id % 40);
      boolean own = fixture.lastSend().worker() % 3 == 0;
      fixture
          .at(30)
          .outcome(fixture.lastSend(), 0, OutcomeCode.OK, own == homeHallPays ? 20 : 1200);
    }
    return fixture;
  }

  @Test
  void weightsStayBoundedUnderNoise() {
    DispatcherFixture fixture = fixture().list(9);
    java.util.Random noise = new java.util.Random(1);
    for (int id = 1; id < 6000; id++) {
      fixture.at(20).call(id, IDEMPOTENT_CLASS, id); // a scan: no function comes twice
      if (!fixture.sends(id).isEmpty()) {
        fixture.outcome(
            fixture.lastSend(),
            0,
            noise.nextInt(5) == 0 ? OutcomeCode.ERROR : OutcomeCode.OK,
            noise.nextInt(2000));
      }
      fixture.actions.clear();
    }
    double[] start =
        new DispatcherFixture(DispatcherFixture.settings(false, DedupScope.ALL), 1)
            .dispatcher
            .weights;
    for (int k = 0; k < start.length; k++) {
      double most = 0.5 * Math.abs(start[k]) + 0.5;
      assertTrue(Math.abs(fixture.dispatcher.weights[k] - start[k]) <= most + 1e-9, "weight " + k);
    }
  }

  // ---------------------------------------------------------------- failures found

  /** Incident ib7a926: a full worker answers at once and so drew ever more calls. */
  @Test
  void aFullWorkerIsPassedOverForAWhile() {
    DispatcherFixture fixture = fixture().list(2).call(1, IDEMPOTENT_CLASS, 9);
    int full = fixture.lastSend().worker();
    fixture.outcome(fixture.lastSend(), 0, OutcomeCode.FULL, 1);
    for (int id = 2; id < 12; id++) {
      fixture.at(1).call(id, IDEMPOTENT_CLASS, 9);
      assertFalse(fixture.lastSend().worker() == full);
    }
  }

  /** Throttled tenants: what is turned away for one tenant says nothing of another. */
  @Test
  void aTurnAwayCountsForItsTenantAndClassAlone() {
    Settings s = DispatcherFixture.settings(false, DedupScope.ALL);
    DispatcherFixture fixture =
        new DispatcherFixture(
            new Settings(
                0,
                1,
                0,
                s.classes(),
                List.of(new Tenant(0.5, 50), new Tenant(0.5, 50)),
                0.2,
                false,
                false,
                WeightKind.SILENT,
                List.of(),
                s.limits(),
                s.rules(),
                s.loadPolicy(),
                s.loadReportFormat(),
                s.costs()),
            7);
    fixture.list(6).call(1, IDEMPOTENT_CLASS, 9);
    int home = fixture.lastSend().worker();
    fixture.at(20).outcome(fixture.lastSend(), 0, OutcomeCode.OK, 20);
    fixture.at(20).call(2, IDEMPOTENT_CLASS, 9);
    assertEquals(home, fixture.lastSend().worker());
    fixture.outcome(fixture.lastSend(), 0, OutcomeCode.FULL, 1);
    fixture.call(3, IDEMPOTENT_CLASS, 9);
    assertFalse(fixture.lastSend().worker() == home);
    fixture.event(
        new CallArrival(
            4,
            2500 * MILLISECOND,
            0,
            9,
            2,
            300,
            IDEMPOTENT_CLASS,
            1,
            false,
            false,
            500 * MILLISECOND));
    assertEquals(home, fixture.lastSend().worker());
  }

  /**
   * Grown deployments: the first calls of a front end that has just started are no sign of
   * overload.
   */
  @Test
  void aFrontEndThatHasJustStartedRefusesNothing() {
    DispatcherFixture fixture = fixture().list(20);
    for (int id = 1; id <= 5; id++) {
      fixture
          .call(id, IDEMPOTENT_CLASS, id % 3)
          .pass(150)
          .outcome(fixture.lastSend(), 0, OutcomeCode.OK, 150)
          .pass(150);
    }
    assertTrue(fixture.all(Refuse.class).isEmpty());
  }

  /**
   * Grown deployments: a front end with three calls a second sees an overload too, and recovers
   * from it.
   */
  @Test
  void aThinStreamShedsWhenAnswersAreLate() {
    DispatcherFixture fixture = fixture().list(6);
    int id = 0;
    for (; id < 60; id++) {
      fixture.call(id, IDEMPOTENT_CLASS, id % 5).pass(350);
      fixture.sends(id).forEach(s -> fixture.outcome(s, 0, OutcomeCode.OK, 1800));
    }
    int refused = fixture.all(Refuse.class).size();
    assertTrue(refused > 5 && refused < 60, "refused " + refused);
    for (; id < 120; id++) {
      fixture.call(id, IDEMPOTENT_CLASS, id % 5).pass(350);
      fixture.sends(id).forEach(s -> fixture.outcome(s, 0, OutcomeCode.OK, 60));
    }
    int before = fixture.all(Refuse.class).size();
    for (; id < 150; id++) {
      fixture.call(id, IDEMPOTENT_CLASS, id % 5).pass(350);
      fixture.sends(id).forEach(s -> fixture.outcome(s, 0, OutcomeCode.OK, 60));
    }
    assertEquals(before, fixture.all(Refuse.class).size());
  }

  /** Incident if4a944: every front end began loads until the store stopped. */
  @Test
  void failedLoadsShrinkTheNumberOfOwnLoads() {
    DispatcherFixture fixture = fixture().list(8);
    for (int id = 1; id <= 30; id++) {
      fixture.call(id, NOT_IDEMPOTENT_CLASS, id);
    }
    int before = fixture.all(Send.class).size();
    assertTrue(before < 30, "loads at once " + before);
    Send first = fixture.all(Send.class).get(0);
    fixture
        .at(500)
        .event(
            new AttemptOutcome(
                first.call(),
                0,
                first.worker(),
                OutcomeCode.ERROR,
                500 * MILLISECOND,
                false,
                CopyStatus.LOAD_FAILED,
                -1,
                null));
    assertEquals(before, fixture.all(Send.class).size());
    assertEquals(before / 2.0, fixture.dispatcher.loadLimit, 0.5);
  }

  /**
   * First incidents: one long call benched a worker; silence needs more than one answer missing.
   */
  @Test
  void silenceBenchesAWorkerAndOneLongCallDoesNot() {
    DispatcherFixture fixture = fixture().list(3);
    for (int id = 1; id <= 90; id++) { // all three are heard
      fixture
          .at(60)
          .call(id, IDEMPOTENT_CLASS, id % 3)
          .at(60)
          .outcome(fixture.lastSend(), 0, OutcomeCode.OK, 60);
    }
    fixture.call(100, IDEMPOTENT_CLASS, 0).pass(200);
    assertTrue(fixture.dispatcher.workers.values().stream().noneMatch(w -> w.benched));
    int hung = fixture.lastSend().worker();
    for (int id = 101; id < 112; id++) {
      fixture.call(id, NOT_IDEMPOTENT_CLASS, 0);
      if (fixture.lastSend().worker() != hung) {
        fixture.outcome(fixture.lastSend(), 0, OutcomeCode.OK, 30);
      }
    }
    fixture.pass(1800);
    assertTrue(fixture.dispatcher.workers.get(hung).benched);
    assertTrue(
        fixture.all(Log.class).stream()
            .anyMatch(l -> l.text().contains("benched: failing or silent")));
  }

  @Test
  void aCommonCauseDoesNotEmptyThePool() {
    DispatcherFixture fixture = fixture().list(4);
    for (int id = 1; id < 80; id++) {
      fixture.at(50).call(id, NOT_IDEMPOTENT_CLASS, id % 4);
      if (!fixture.sends(id).isEmpty()) {
        fixture.outcome(fixture.lastSend(), 0, OutcomeCode.ERROR, 5);
      }
      fixture.event(new TimerFired(-1));
    }
    fixture.call(1000, NOT_IDEMPOTENT_CLASS, 1);
    assertEquals(1, fixture.sends(1000).size());
  }

  // ---------------------------------------------------------------- settings, determinism, size

  @Test
  void settingsThatCannotBeServedAreRefusedByName() {
    assertTrue(
        assertThrows(
                IllegalArgumentException.class,
                () -> new DispatcherFixture(DispatcherFixture.settings(List.of(), false), 1))
            .getMessage()
            .contains("classes"));
    CallClass none = new CallClass(1, 0, 0, Idempotency.IDEMPOTENT, DedupScope.ALL, 0, 1, 0, false);
    assertTrue(
        assertThrows(
                IllegalArgumentException.class,
                () -> new DispatcherFixture(DispatcherFixture.settings(List.of(none), false), 1))
            .getMessage()
            .contains("classes.giveUp"));
  }

  /**
   * The modules that decide do no I/O, ask no clock, start no thread, and know nothing of the front
   * end round them.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "saddlestall/AdaptiveDispatcher",
        "saddlestall/DispatcherState",
        "saddlestall/Maths",
        "umberrun/discovery/DiscoveryContact",
        "umberrun/discovery/WorkerLeases"
      })
  void theModulesThatDecideAreFreeOfIo(String module) throws IOException {
    List<String> lines = Files.readAllLines(Path.of("src/main/java/" + module + ".java"));
    String foreign =
        "import (?!static"
            + " saddlestall|saddlestall|java\\.util\\.(?!concurrent|Timer|logging)).*|.*(System\\.(?!arraycopy)|Thread|Instant\\.now).*";
    assertEquals(List.of(), lines.stream().filter(l -> l.matches(foreign)).toList());
    int most = module.endsWith("AdaptiveDispatcher") ? 110 : 140;
    assertEquals(List.of(), lines.stream().filter(l -> l.length() > most).toList());
  }

  /**
   * What another instance saw draws calls there at once; what this one sees for itself stands
   * against it.
   */
  @Test
  void hearsayIsAPriorBelief() {
    int there = 0;
    int without = 0;
    for (int seed = 1; seed <= 200; seed++) {
      DispatcherFixture fixture =
          new DispatcherFixture(DispatcherFixture.settings(false, DedupScope.ALL), seed)
              .list(6)
              .call(1, IDEMPOTENT_CLASS, 7);
      without += fixture.sends(1).get(0).worker() == 4 ? 1 : 0;
      fixture =
          new DispatcherFixture(DispatcherFixture.settings(false, DedupScope.ALL), seed).list(6);
      fixture
          .event(new CopyObservation(4, 7, 1_000 * MILLISECOND, 0.9))
          .call(1, IDEMPOTENT_CLASS, 7);
      there += fixture.sends(1).get(0).worker() == 4 ? 1 : 0;
      List<Observation> own = new ArrayList<>();
      fixture.exportObservations(own::add);
      assertTrue(
          own.stream().noneMatch(k -> k instanceof CopyObservation),
          "hearsay is not passed on as seen");
      fixture.outcome(fixture.sends(1).get(0), 0, OutcomeCode.OK, 100);
      fixture.exportObservations(own::add);
      assertTrue(own.stream().anyMatch(k -> k instanceof CopyObservation c && c.function() == 7));
    }
    assertTrue(there > 3 * without, "drawn there " + there + " times, without hearsay " + without);
  }

  /** Rules 3 and 4: no word of others makes a worker one that drains, or that started since. */
  @Test
  void hearsayRevivesNoWorker() {
    DispatcherFixture fixture = fixture().list(3);
    fixture.event(
        new WorkerListUpdate(
            ListKind.DELTA, List.of(new WorkerEntry(2, 0, 0, 0, WorkerState.DRAINING, 1, 0))));
    fixture
        .event(new CopyObservation(2, 7, 0, 1))
        .event(new WorkerObservation(2, 1, 0, 0, 1))
        .event(new CopyObservation(99, 7, 0, 1));
    for (int id = 1; id <= 20; id++) {
      fixture.call(id, IDEMPOTENT_CLASS, 7);
      assertNotEquals(2, fixture.sends(id).get(0).worker());
      fixture.outcome(fixture.sends(id).get(0), 0, OutcomeCode.OK, 100);
    }
  }

  /** Waits for loads are no overload: the calls that come meanwhile are not refused. */
  @Test
  void loadsUnderWayDoNotLeadToRefusals() {
    DispatcherFixture fixture =
        new DispatcherFixture(DispatcherFixture.settings(false, DedupScope.ALL), 5).list(6);
    for (int id = 1; id <= 5; id++) {
      fixture.call(id, IDEMPOTENT_CLASS, id); // each begins a load that lasts longer than the aim
    }
    fixture.pass(1_000);
    for (int id = 1; id <= 5; id++) {
      Send s = fixture.sends(id).get(0);
      fixture
          .event(
              new AttemptOutcome(
                  s.call(),
                  0,
                  s.worker(),
                  OutcomeCode.OK,
                  700 * MILLISECOND,
                  true,
                  CopyStatus.BEGAN_LOAD,
                  0,
                  null))
          .pass(50);
    }
    for (int id = 6; id <= 40; id++) {
      fixture.call(id, IDEMPOTENT_CLASS, id % 5 + 1);
      assertFalse(fixture.refused(id), "call " + id);
      fixture
          .sends(id)
          .forEach(
              s ->
                  fixture.outcome(
                      s, 0, OutcomeCode.OK, 150)); // the usual time, so that all are worth the same
    }
  }

  /**
   * Calls that are out for long, as where answers get lost, are no overload while the answers that
   * come are quick.
   */
  @Test
  void callsInFlightAloneDoNotLeadToRefusals() {
    DispatcherFixture fixture = fixture().list(6);
    for (int id = 1; id <= 60; id++) {
      fixture.call(id, IDEMPOTENT_CLASS, id % 3).pass(50);
      if (id % 2 == 0) {
        fixture.sends(id).forEach(s -> fixture.outcome(s, 0, OutcomeCode.OK, 60));
      }
    }
    assertTrue(fixture.all(Refuse.class).isEmpty());
  }

  /**
   * With a short aim the prior alone looked like an overload: an idle front end refused its first
   * calls.
   */
  @Test
  void anIdleFrontEndWithAShortAimRefusesNothing() {
    CallClass quick =
        new CallClass(
            300 * MILLISECOND,
            0,
            2500 * MILLISECOND,
            Idempotency.IDEMPOTENT,
            DedupScope.ALL,
            0,
            1,
            0.2,
            false);
    DispatcherFixture fixture =
        new DispatcherFixture(DispatcherFixture.settings(List.of(quick), false), 3)
            .list(6)
            .pass(3_000);
    for (int id = 1; id <= 20; id++) {
      fixture.call(id, IDEMPOTENT_CLASS, 1);
    }
    assertTrue(fixture.all(Refuse.class).isEmpty());
  }

  /**
   * Lost answers, slow workers: a late call gets one second copy, where a loaded one stands and its
   * class allows.
   */
  @ParameterizedTest
  @EnumSource(Idempotency.class)
  void aLateCallGetsASecondCopy(Idempotency effect) {
    DispatcherFixture fixture =
        new DispatcherFixture(DispatcherFixture.settings(false, DedupScope.ZONE), 7).list(6);
    for (int id = 1; id <= 30; id++) {
      fixture.call(
          id, IDEMPOTENT_CLASS, 9); // many at once, so that copies come to stand at all workers
    }
    fixture.at(60);
    fixture.all(Send.class).forEach(s -> fixture.outcome(s, 0, OutcomeCode.OK, 60));
    fixture
        .at(50)
        .call(
            100,
            effect.ordinal() == 0
                ? IDEMPOTENT_CLASS
                : effect == Idempotency.DEDUPLICATED ? DEDUPLICATED_CLASS : NOT_IDEMPOTENT_CLASS,
            9)
        .pass(1_000);
    List<Send> sends = fixture.sends(100);
    assertEquals(effect == Idempotency.NOT_IDEMPOTENT ? 1 : 2, sends.size());
    if (effect != Idempotency.NOT_IDEMPOTENT) {
      assertFalse(sends.get(0).worker() == sends.get(1).worker());
      fixture.outcome(sends.get(1), 1, OutcomeCode.OK, 60).at(50);
      int before = fixture.actions.size();
      fixture.event(
          new AttemptOutcome(
              100,
              0,
              sends.get(0).worker(),
              OutcomeCode.TIMEOUT,
              SECOND,
              true,
              CopyStatus.NONE,
              -1,
              null));
      assertEquals(before, fixture.actions.size());
    }
    if (effect == Idempotency.DEDUPLICATED) {
      assertEquals(sends.get(0).worker() % 3, sends.get(1).worker() % 3);
    }
  }

  /**
   * Bad peers: all that one lost connection takes along is one sign of its worker's health, not as
   * many.
   */
  @Test
  void aLostConnectionCountsOnce() {
    DispatcherFixture fixture = fixture().list(1);
    for (int id = 1; id <= 10; id++) {
      fixture.call(id, NOT_IDEMPOTENT_CLASS, 9);
    }
    fixture.at(20);
    List.copyOf(fixture.all(Send.class)).forEach(s -> fixture.outcome(s, 0, OutcomeCode.RESET, 20));
    assertEquals(0.2, fixture.dispatcher.workers.get(1).failureRate, 1e-9);
  }

  /** Bad clients: errors for functions that no worker knows are no sign of a worker's health. */
  @Test
  void nonsenseBenchesNoWorker() {
    DispatcherFixture fixture = fixture().list(4);
    for (int id = 1; id <= 40; id++) {
      fixture.call(id, NOT_IDEMPOTENT_CLASS, 1_000 + id).at(5);
      fixture.sends(id).forEach(s -> fixture.outcome(s, 0, OutcomeCode.ERROR, 5));
    }
    assertTrue(fixture.dispatcher.workers.values().stream().allMatch(w -> w.failureRate == 0));
  }

  /** A call that nothing can serve is refused while that costs little, not when its time is up. */
  @Test
  void aHeldCallIsRefusedBeforeHalfItsTimeHasPassed() {
    DispatcherFixture fixture = fixture().call(1, IDEMPOTENT_CLASS, 9).pass(1_000);
    assertFalse(fixture.refused(1));
    assertTrue(fixture.pass(200).refused(1));
  }

  /**
   * Hot functions whose loads outlast every call of theirs: an order loads them, and the calls are
   * served then.
   */
  @Test
  void aLoadThatOutlastsItsCallsIsOrdered() {
    DispatcherFixture fixture =
        new DispatcherFixture(DispatcherFixture.settings(true, DedupScope.ALL), 7).list(4);
    fixture.event(
        new CallArrival(
            1,
            400 * MILLISECOND,
            0,
            9,
            2,
            300,
            NOT_IDEMPOTENT_CLASS,
            0,
            false,
            false,
            900 * MILLISECOND));
    assertTrue(fixture.sends(1).isEmpty());
    assertTrue(fixture.all(Preload.class).isEmpty()); // one call alone is not worth the memory
    for (int id = 10; id < 20; id++) {
      fixture.event(
          new CallArrival(
              id,
              400 * MILLISECOND,
              0,
              9,
              2,
              300,
              NOT_IDEMPOTENT_CLASS,
              0,
              false,
              false,
              900 * MILLISECOND));
    }
    Preload order = fixture.all(Preload.class).get(0);
    assertEquals(9, order.function());
    fixture
        .at(900)
        .event(new PreloadResult(900 * MILLISECOND, 1, order.worker(), OutcomeCode.OK, 9));
    fixture.event(
        new CallArrival(
            3,
            400 * MILLISECOND,
            0,
            9,
            2,
            300,
            NOT_IDEMPOTENT_CLASS,
            0,
            false,
            false,
            900 * MILLISECOND));
    assertEquals(order.worker(), fixture.sends(3).get(0).worker());
  }

  /** Bad clients: a function that nobody ever served is not tried at every worker there is. */
  @Test
  void nonsenseIsTriedTwice() {
    DispatcherFixture fixture = fixture().list(6);
    for (int id = 1; id <= 40; id++) {
      fixture.call(id, IDEMPOTENT_CLASS, 9);
      fixture.outcome(fixture.lastSend(), 0, OutcomeCode.OK, 20);
    }
    fixture.call(50, IDEMPOTENT_CLASS, 77);
    for (int i = 0; i < 3; i++) {
      fixture.outcome(fixture.lastSend(), i, OutcomeCode.ERROR, 5);
    }
    assertEquals(2, fixture.sends(50).size());
    assertTrue(fixture.refused(50));
  }

  /**
   * One front end among many has few calls out: it must not learn of each lost worker of a lost
   * hall alone.
   */
  @Test
  void aHallWhoseWorkersFailOneAfterTheOtherIsPassedOverWhole() {
    DispatcherFixture fixture = fixture().list(45);
    int lost = 0;
    for (int id = 1; id <= 90; id++) {
      fixture.call(id, IDEMPOTENT_CLASS, id);
      for (int i = 0; i < fixture.sends(id).size(); i++) {
        boolean fails = fixture.sends(id).get(i).worker() % 3 == 1;
        lost += fails ? 1 : 0;
        fixture.outcome(
            fixture.sends(id).get(i), i, fails ? OutcomeCode.CONNECT_FAILED : OutcomeCode.OK, 10);
      }
      fixture.pass(50);
    }
    assertTrue(lost <= 12, lost + " sends to a hall of 15 workers that is lost");

    fixture.pass(1_000).call(100, IDEMPOTENT_CLASS, 100);
    assertEquals(1, fixture.lastSend().worker() % 3, "a trial");
    fixture.outcome(fixture.lastSend(), 0, OutcomeCode.OK, 10).pass(50);
    int back = 0;
    for (int id = 101; id <= 160; id++) {
      fixture
          .call(id, IDEMPOTENT_CLASS, id)
          .outcome(fixture.lastSend(), 0, OutcomeCode.OK, 10)
          .pass(50);
      back += fixture.lastSend().worker() % 3 == 1 ? 1 : 0;
    }
    assertTrue(back > 5, "only " + back + " sends of 60 to a hall that is back");
  }

  /**
   * An answer without a count says that no other call was there, but only where the deployment has
   * its workers count.
   */
  @Test
  void anAbsentCountIsNoneOnlyWhereCountsAreTold() {
    for (boolean told : new boolean[] {true, false}) {
      Settings s = DispatcherFixture.settings(true, DedupScope.ALL);
      LoadPolicy l = s.loadPolicy();
      DispatcherFixture fixture =
          new DispatcherFixture(
              new Settings(
                  0,
                  2,
                  0,
                  s.classes(),
                  s.tenants(),
                  0.2,
                  false,
                  false,
                  WeightKind.SILENT,
                  List.of(),
                  s.limits(),
                  s.rules(),
                  new LoadPolicy(
                      true,
                      true,
                      l.preloadWindow(),
                      l.freePreloads(),
                      l.preloadsPerCall(),
                      l.idleRetention(),
                      true,
                      told,
                      0),
                  s.loadReportFormat(),
                  s.costs()),
              7);
      fixture.list(1).call(1, IDEMPOTENT_CLASS, 9);
      fixture.event(
          new AttemptOutcome(
              1, 0, 1, OutcomeCode.OK, 50 * MILLISECOND, false, CopyStatus.WARM, 0, null));
      assertEquals(
          told ? fixture.now : 0,
          fixture.dispatcher.workers.get(1).copies.get(9L).concurrencyReportedAt);
    }
  }

  /**
   * Where there is one hall alone, its failing workers are passed over one by one: benched whole,
   * all would look alike.
   */
  @Test
  void theOnlyHallIsNotBenchedWhole() {
    List<WorkerEntry> entries =
        IntStream.rangeClosed(1, 12)
            .mapToObj(id -> new WorkerEntry(id, 0, 0, 0, WorkerState.READY, 1, 0))
            .toList();
    DispatcherFixture fixture = fixture().event(new WorkerListUpdate(ListKind.FULL, entries));
    for (int id = 1; id <= 20; id++) {
      fixture.call(id, IDEMPOTENT_CLASS, id);
      for (int i = 0; i < fixture.sends(id).size(); i++) {
        if (fixture.sends(id).get(i).worker() <= 6) { // the others have not answered yet
          fixture.outcome(fixture.sends(id).get(i), i, OutcomeCode.CONNECT_FAILED, 10);
        }
      }
      fixture.pass(20);
    }
    assertTrue(
        fixture.all(Log.class).stream().noneMatch(l -> l.text().contains("hall")),
        fixture.all(Log.class).toString());
  }

  /** One bad worker in a hall says nothing of the others there. */
  @Test
  void aHallWithOneFailingWorkerIsUsed() {
    DispatcherFixture fixture = fixture().list(30);
    int hall = 0;
    for (int id = 1; id <= 200; id++) {
      fixture.call(id, IDEMPOTENT_CLASS, id % 20);
      for (int i = 0; i < fixture.sends(id).size(); i++) {
        int worker = fixture.sends(id).get(i).worker();
        fixture.outcome(
            fixture.sends(id).get(i),
            i,
            worker == 1 || worker == 4 ? OutcomeCode.CONNECT_FAILED : OutcomeCode.OK,
            10);
        hall += worker % 3 == 1 && worker > 4 ? 1 : 0;
      }
      fixture.pass(50);
    }
    assertTrue(hall > 20, "only " + hall + " sends to the well workers of the hall");
  }

  private static Settings among(int siblings) {
    Settings s = DispatcherFixture.settings(true, DedupScope.ALL);
    return new Settings(
        0,
        siblings,
        0,
        s.classes(),
        s.tenants(),
        s.overShareValueFactor(),
        false,
        false,
        s.weightKind(),
        s.kindMemoryMb(),
        s.limits(),
        s.rules(),
        s.loadPolicy(),
        s.loadReportFormat(),
        s.costs());
  }

  /**
   * Most orders for the further homes of a function would find a copy that another front end had
   * loaded.
   */
  @Test
  void manyFrontEndsGiveFewOrdersForTheSameHomes() {
    int orders = 0;
    for (int seed = 1; seed <= 14; seed++) {
      DispatcherFixture fixture = new DispatcherFixture(among(14), seed).list(20);
      for (int id = 1; id <= 200; id++) {
        fixture.call(id, IDEMPOTENT_CLASS, id % 4);
        fixture.outcome(fixture.lastSend(), 0, OutcomeCode.OK, 20).pass(50);
      }
      orders += fixture.all(Preload.class).size();
    }
    assertTrue(orders <= 10, orders + " orders of 14 front ends for four functions");
  }

  /**
   * An order to a worker that is cut off would arrive with those of a later time, and break the
   * ration then.
   */
  @Test
  void aSilentWorkerGetsNoOrders() {
    DispatcherFixture fixture = new DispatcherFixture(among(14), 7).list(1);
    fixture.call(1, IDEMPOTENT_CLASS, 1).outcome(fixture.lastSend(), 0, OutcomeCode.OK, 20);
    fixture.call(2, NOT_IDEMPOTENT_CLASS, 1).pass(2_000); // no answer comes
    for (int id = 3; id <= 5; id++) {
      fixture
          .event(
              new CallArrival(
                  id,
                  400 * MILLISECOND,
                  0,
                  9,
                  2,
                  300,
                  NOT_IDEMPOTENT_CLASS,
                  0,
                  false,
                  false,
                  900 * MILLISECOND))
          .at(20);
    }
    assertTrue(fixture.all(Preload.class).isEmpty());
    fixture.outcome(fixture.sends(2).get(0), 0, OutcomeCode.OK, 2_000);
    fixture.event(
        new CallArrival(
            6,
            400 * MILLISECOND,
            0,
            9,
            2,
            300,
            NOT_IDEMPOTENT_CLASS,
            0,
            false,
            false,
            900 * MILLISECOND));
    assertEquals(1, fixture.all(Preload.class).size());
  }

  /**
   * The ration of orders is taken from calls that surely count for it: not from those that clients
   * try again.
   */
  @Test
  void callsThatAreTriedAgainEarnNoOrders() {
    int first = 0;
    int again = 0;
    for (boolean repeat : new boolean[] {false, true}) {
      DispatcherFixture fixture = new DispatcherFixture(among(14), 7).list(20);
      for (int id = 1; id <= 100; id++) {
        fixture
            .event(
                new CallArrival(
                    id,
                    400 * MILLISECOND,
                    0,
                    id % 50,
                    2,
                    300,
                    NOT_IDEMPOTENT_CLASS,
                    0,
                    repeat,
                    false,
                    900 * MILLISECOND))
            .at(20);
      }
      first += repeat ? 0 : fixture.all(Preload.class).size();
      again += repeat ? fixture.all(Preload.class).size() : 0;
    }
    assertEquals(2, again, "what is free");
    assertTrue(first > 10, first + " orders");
  }

  /** One call a second shows that a worker is slow, if it isn't forgotten within five. */
  @Test
  void aSlowWorkerIsKnownByFewCalls() {
    DispatcherFixture fixture = new DispatcherFixture(among(14), 7).list(40);
    double slowest = 0;
    for (int id = 1; id <= 400; id++) {
      fixture.call(id, IDEMPOTENT_CLASS, id % 120);
      boolean slow = fixture.lastSend().worker() == 3 || fixture.lastSend().worker() == 4;
      fixture.outcome(fixture.lastSend(), 0, OutcomeCode.OK, slow ? 400 : 60).pass(50);
      slowest =
          Math.max(
              fixture.dispatcher.workers.get(3).latencyRatio,
              fixture.dispatcher.workers.get(4).latencyRatio);
    }
    assertTrue(slowest > 2, "pace " + slowest);
  }

  /**
   * Others want a last copy loaded: within the ration, for a known function, never at a cold or
   * drained worker.
   */
  @Test
  void aCopyThatOthersWantIsOrderedWithinTheRation() {
    DispatcherFixture fixture =
        new DispatcherFixture(DispatcherFixture.settings(true, DedupScope.ALL), 7)
            .list(3)
            .call(1, IDEMPOTENT_CLASS, 9);
    fixture.event(
        new WorkerListUpdate(
            ListKind.DELTA,
            List.of(
                DispatcherFixture.entry(2, WorkerState.DRAINING, 0),
                DispatcherFixture.entry(3, WorkerState.READY, fixture.now - SECOND))));
    for (int worker : new int[] {2, 3, 77}) {
      fixture.event(new CopyRequested(worker, 9));
    }
    fixture.event(new CopyRequested(1, 10)); // nobody called it
    assertEquals(0, fixture.all(Preload.class).size());
    for (int i = 0; i < 5; i++) {
      fixture.event(new CopyRequested(1, 9));
    }
    assertEquals(2, fixture.all(Preload.class).size(), "two are free, and one call earns none");
  }

  /** A deployment without a ration of loads: no default takes its place. */
  @Test
  void anAbsentRationIsNoRation() {
    Settings s = DispatcherFixture.settings(true, DedupScope.ALL);
    Settings none =
        new Settings(
            0,
            2,
            0,
            s.classes(),
            s.tenants(),
            0.2,
            false,
            false,
            WeightKind.SILENT,
            List.of(),
            s.limits(),
            s.rules(),
            new LoadPolicy(true, true, 0, 0, 0, 10 * SECOND, false, true, 0),
            s.loadReportFormat(),
            s.costs());
    DispatcherFixture fixture = new DispatcherFixture(none, 7).list(3).call(1, IDEMPOTENT_CLASS, 9);
    for (int i = 0; i < 50; i++) {
      fixture.event(new CopyRequested(1, 9));
    }
    assertEquals(50, fixture.all(Preload.class).size());
  }

  /**
   * What others say counts where it is later than what was seen here; a benched worker is tried
   * once it is said to answer.
   */
  @Test
  void laterHearsayBenchesAndLetsTry() {
    DispatcherFixture fixture = fixture().list(6).call(1, IDEMPOTENT_CLASS, 9);
    int worker = fixture.lastSend().worker();
    fixture.outcome(fixture.lastSend(), 0, OutcomeCode.OK, 20).at(100);
    fixture
        .event(new WorkerObservation(worker, 1, 1, 200 * MILLISECOND, 1))
        .pass(100); // seen before the answer
    assertFalse(fixture.dispatcher.workers.get(worker).benched);
    fixture.event(new WorkerObservation(worker, 1, 1, 0, 1)).pass(100);
    assertTrue(fixture.dispatcher.workers.get(worker).benched);
    for (int id = 2; id < 60; id++) { // said again, as a prober does
      fixture.call(id, IDEMPOTENT_CLASS, id).pass(50);
      fixture.outcome(fixture.lastSend(), 0, OutcomeCode.OK, 50);
      fixture.event(new WorkerObservation(worker, 1, 1, 0, 1));
    }
    assertEquals(
        1,
        fixture.all(Send.class).stream().filter(s -> s.worker() == worker).count(),
        "sends that met it");
    fixture.event(new WorkerObservation(worker, 1, 0, 0, 1)).call(60, IDEMPOTENT_CLASS, 60);
    assertEquals(worker, fixture.lastSend().worker(), "tried at once");
  }
}
