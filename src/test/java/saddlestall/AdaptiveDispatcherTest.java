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

/**
 * Tests of the rules, the sampling, the learning, the health checks and the admission of one front
 * end.
 */
class AdaptiveDispatcherTest {
  private static DispatcherFixture fixture() {
    return new DispatcherFixture(DispatcherFixture.settings(false, DedupScope.ALL), 7);
  }

  // ---------------------------------------------------------------- rules 1 and 2

  @ParameterizedTest
  @EnumSource(
      value = OutcomeCode.class,
      names = {"OK", "CANCELLED", "NOT_STARTED"},
      mode = EnumSource.Mode.EXCLUDE)
  void nonIdempotentCallsAreRetriedOnlyIfNothingRan(OutcomeCode code) {
    DispatcherFixture fixture = fixture().listWorkers(4).call(1, NOT_IDEMPOTENT_CLASS, 9);
    fixture.advance(20).outcome(fixture.lastSend(), 0, code, 20);
    assertEquals(code.notRun ? 2 : 1, fixture.sends(1).size());
    assertEquals(!code.notRun, fixture.failed(1));
    assertFalse(fixture.refused(1));
  }

  @ParameterizedTest
  @EnumSource(
      value = OutcomeCode.class,
      names = {"ERROR", "FULL", "CONNECT_FAILED", "RESET", "MISS"})
  void idempotentCallsAreRetriedAtAnotherWorker(OutcomeCode code) {
    DispatcherFixture fixture = fixture().listWorkers(4).call(1, IDEMPOTENT_CLASS, 9);
    Send first = fixture.lastSend();
    fixture.advance(20).outcome(first, 0, code, 20);
    assertEquals(2, fixture.sends(1).size());
    assertFalse(first.worker() == fixture.lastSend().worker());
  }

  @Test
  void deduplicatedCallsStayInTheirCellAndWindow() {
    for (long seed = 0; seed < 20; seed++) {
      DispatcherFixture fixture =
          new DispatcherFixture(DispatcherFixture.settings(false, DedupScope.CELL), seed)
              .listWorkers(6)
              .call(1, DEDUPLICATED_CLASS, 9);
      Send first = fixture.lastSend();
      fixture.advance(20).outcome(first, 0, OutcomeCode.ERROR, 20);
      assertEquals(2, fixture.sends(1).size());
      assertEquals(first.worker() % 2, fixture.lastSend().worker() % 2);
      fixture.advance(1100).outcome(fixture.lastSend(), 1, OutcomeCode.ERROR, 1100);
      fixture.advanceInTicks(1400).event(new TimerFired(1));
      assertEquals(2, fixture.sends(1).size());
      assertTrue(fixture.failed(1));
    }
  }

  @Test
  void aCallGetsItsFinalAnswerAtItsDeadline() {
    DispatcherFixture fixture =
        fixture().listWorkers(4).call(1, NOT_IDEMPOTENT_CLASS, 9).call(2, IDEMPOTENT_CLASS, 9);
    fixture.advance(2500).event(new TimerFired(1)).event(new TimerFired(2));
    assertTrue(fixture.failed(1));
    assertTrue(fixture.refused(2));
    int before = fixture.actions.size();
    fixture.advance(1).outcome(fixture.sends(1).get(0), 0, OutcomeCode.TIMEOUT, 2501);
    assertEquals(before, fixture.actions.size());
  }

  @Test
  void withNothingPermittedACallIsHeldThenRefused() {
    DispatcherFixture fixture = fixture().call(1, NOT_IDEMPOTENT_CLASS, 9);
    assertTrue(fixture.sends(1).isEmpty());
    fixture.advance(100).listWorkers(2);
    assertEquals(1, fixture.sends(1).size());
    DispatcherFixture withoutWorkers =
        fixture().call(1, NOT_IDEMPOTENT_CLASS, 9).advanceInTicks(2500);
    assertTrue(withoutWorkers.event(new TimerFired(1)).refused(1));
  }

  @Test
  void attemptsAreLimited() {
    DispatcherFixture fixture = fixture().listWorkers(8).call(1, IDEMPOTENT_CLASS, 9);
    for (int i = 0; i < 4; i++) {
      fixture.advance(5).outcome(fixture.lastSend(), i, OutcomeCode.CONNECT_FAILED, 5);
    }
    assertEquals(4, fixture.sends(1).size());
    assertTrue(fixture.refused(1));
  }

  @Test
  void strayEventsAreIgnored() {
    DispatcherFixture fixture = fixture().listWorkers(2);
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
    DispatcherFixture fixture = fixture().listWorkers(3);
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
    DispatcherFixture fixture = fixture().listWorkers(3);
    fixture.event(
        new WorkerListUpdate(
            ListKind.DELTA, List.of(DispatcherFixture.entry(9, WorkerState.READY, fixture.now))));
    int id = 0;
    // Two seconds with forty calls per second.
    for (int round = 0; round < 40; round++) {
      for (int k = 0; k < 2; k++) {
        fixture.call(++id, IDEMPOTENT_CLASS, id % 20);
        if (!fixture.sends(id).isEmpty()) {
          fixture.outcome(fixture.lastSend(), 0, OutcomeCode.OK, 1);
        }
      }
      fixture.advanceInTicks(50);
    }
    long cold = fixture.all(Send.class).stream().filter(s -> s.worker() == 9).count();
    // A warm worker handles about 27 calls in two seconds; a cold one may get 3 x 15% of that.
    assertTrue(cold <= 12, "sent " + cold);
  }

  @Test
  void preloadsStayWithinTheirLimit() {
    DispatcherFixture fixture =
        new DispatcherFixture(DispatcherFixture.settings(true, DedupScope.ALL), 3).listWorkers(12);
    for (int id = 1; id <= 300; id++) {
      // High demand for two functions, so that each has many homes.
      fixture.advance(10).event(new TimerFired(-1)).call(id, IDEMPOTENT_CLASS, id % 2);
      if (!fixture.sends(id).isEmpty()) {
        fixture.outcome(fixture.lastSend(), 0, OutcomeCode.OK, 400);
      }
    }
    int preloads = fixture.all(Preload.class).size();
    assertTrue(preloads > 2, "preloads " + preloads);
    assertTrue(preloads <= 2 + 0.15 * 300, "preloads " + preloads);
  }

  // ---------------------------------------------------------------- sampling

  @Test
  void aWarmFreeWorkerIsSampledNearlyAlways() {
    DispatcherFixture fixture = fixture().listWorkers(6).call(1, IDEMPOTENT_CLASS, 9);
    int warm = fixture.lastSend().worker();
    fixture.advance(500).outcome(fixture.lastSend(), 0, OutcomeCode.OK, 500);
    int same = 0;
    for (int id = 2; id < 102; id++) {
      fixture.advance(40).call(id, IDEMPOTENT_CLASS, 9);
      same += fixture.lastSend().worker() == warm ? 1 : 0;
      fixture.advance(40).outcome(fixture.lastSend(), 0, OutcomeCode.OK, 40);
    }
    assertTrue(same >= 90, "warm " + same);
  }

  @Test
  void aWorkerWithManyOwnCallsIsSampledLess() {
    DispatcherFixture fixture = fixture().listWorkers(6).call(1, IDEMPOTENT_CLASS, 9);
    int warm = fixture.lastSend().worker();
    fixture.advance(500).outcome(fixture.lastSend(), 0, OutcomeCode.OK, 500);
    for (int id = 2; id < 14; id++) {
      fixture.call(id, IDEMPOTENT_CLASS, 9);
    }
    long others = fixture.all(Send.class).stream().skip(1).filter(s -> s.worker() != warm).count();
    assertTrue(others >= 4, "others " + others);
  }

  /**
   * With own calls at the only worker that has a known copy, further calls start loads elsewhere.
   */
  @Test
  void ownCallsOutweighAWarmCopy() {
    int others = 0;
    for (int seed = 1; seed <= 40; seed++) {
      DispatcherFixture fixture =
          new DispatcherFixture(DispatcherFixture.settings(false, DedupScope.ALL), seed)
              .listWorkers(6)
              .call(1, IDEMPOTENT_CLASS, 9);
      int warm = fixture.lastSend().worker();
      fixture.advance(500).outcome(fixture.lastSend(), 0, OutcomeCode.OK, 500);
      for (int id = 2; id < 14; id++) {
        fixture.call(id, IDEMPOTENT_CLASS, 9);
      }
      others += fixture.all(Send.class).stream().skip(1).filter(s -> s.worker() != warm).count();
    }
    assertTrue(others >= 270, "others " + others);
  }

  /**
   * A worker with more planned load than the others is left to the functions that have it as a
   * home.
   */
  @Test
  void plannedLoadKeepsAFunctionAtItsHome() {
    int most = 0;
    for (int seed = 1; seed <= 20; seed++) {
      DispatcherFixture fixture = runOneBusyFunction(2, seed);
      int[] sendsByWorker = new int[7];
      fixture.all(Send.class).stream()
          .filter(s -> s.call() > 150 && s.call() % 6 == 0)
          .forEach(s -> sendsByWorker[s.worker()]++);
      most += Arrays.stream(sendsByWorker).max().orElse(0);
    }
    assertTrue(most >= 202, "at the most used worker " + most);
  }

  /**
   * A function with more than half of the load of a worker gets another home, which is preloaded.
   */
  @Test
  void aBusyFunctionHasAFurtherHome() {
    int withPreload = 0;
    for (int seed = 1; seed <= 20; seed++) {
      withPreload +=
          runOneBusyFunction(32, seed).all(Preload.class).stream().anyMatch(h -> h.function() == 1)
              ? 1
              : 0;
    }
    assertTrue(withPreload >= 5, "preloaded by " + withPreload);
  }

  /**
   * Runs fifteen seconds of calls, of which one in six is for function 1, with the given lanes per
   * copy.
   */
  private static DispatcherFixture runOneBusyFunction(int lanes, int seed) {
    DispatcherFixture fixture =
        new DispatcherFixture(DispatcherFixture.settings(true, DedupScope.ALL), seed)
            .listWorkers(6);
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
      fixture.advanceInTicks(50);
      fixture.sends(id).forEach(send -> fixture.outcome(send, 0, OutcomeCode.OK, 150));
    }
    return fixture;
  }

  @Test
  void aLoadThatOutlastsTheCallIsNotStarted() {
    DispatcherFixture fixture =
        fixture()
            .listWorkers(4)
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
    fixture.advance(400).event(new TimerFired(1));
    assertTrue(fixture.refused(1));
  }

  @Test
  void frontEndsAgreeOnHomesWithoutCoordination() {
    for (long function = 1; function < 30; function++) {
      int first =
          new DispatcherFixture(DispatcherFixture.settings(false, DedupScope.ALL), 1)
              .listWorkers(8)
              .call(1, IDEMPOTENT_CLASS, function)
              .lastSend()
              .worker();
      int agreeing = 0;
      for (long seed = 2; seed < 12; seed++) {
        DispatcherFixture fixture =
            new DispatcherFixture(DispatcherFixture.settings(false, DedupScope.ALL), seed)
                .listWorkers(8)
                .call(1, IDEMPOTENT_CLASS, function);
        agreeing += fixture.lastSend().worker() == first ? 1 : 0;
      }
      assertTrue(agreeing >= 5, "function " + function + ": " + agreeing);
    }
  }

  // ---------------------------------------------------------------- learning

  /**
   * The weight of the own-hall feature follows a constructed reward: answers are fast only in that
   * hall in one run, and only outside of it in the other.
   */
  @Test
  void weightsFollowAConstructedReward() {
    DispatcherFixture ownHallFast = runWithReward(true);
    DispatcherFixture otherHallsFast = runWithReward(false);
    // Weight 7 is that of the own-hall feature.
    double gain = ownHallFast.dispatcher.weights[7] - otherHallsFast.dispatcher.weights[7];
    assertTrue(gain > 0, "gain " + gain);
  }

  private static DispatcherFixture runWithReward(boolean ownHallIsFast) {
    DispatcherFixture fixture = fixture().listWorkers(9);
    for (int id = 1; id < 1500; id++) {
      fixture.advance(30).call(id, IDEMPOTENT_CLASS, id % 40);
      boolean inOwnHall = fixture.lastSend().worker() % 3 == 0;
      fixture
          .advance(30)
          .outcome(fixture.lastSend(), 0, OutcomeCode.OK, inOwnHall == ownHallIsFast ? 20 : 1200);
    }
    return fixture;
  }

  @Test
  void weightsStayBoundedUnderNoise() {
    DispatcherFixture fixture = fixture().listWorkers(9);
    java.util.Random noise = new java.util.Random(1);
    for (int id = 1; id < 6000; id++) {
      // A scan: no function is called twice.
      fixture.advance(20).call(id, IDEMPOTENT_CLASS, id);
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
      double maxDrift = 0.5 * Math.abs(start[k]) + 0.5;
      assertTrue(
          Math.abs(fixture.dispatcher.weights[k] - start[k]) <= maxDrift + 1e-9, "weight " + k);
    }
  }

  // ---------------------------------------------------------------- regressions

  /** A full worker answers at once, holds few own calls and so attracted more and more calls. */
  @Test
  void aFullWorkerIsSkippedForAWhile() {
    DispatcherFixture fixture = fixture().listWorkers(2).call(1, IDEMPOTENT_CLASS, 9);
    int full = fixture.lastSend().worker();
    fixture.outcome(fixture.lastSend(), 0, OutcomeCode.FULL, 1);
    for (int id = 2; id < 12; id++) {
      fixture.advance(1).call(id, IDEMPOTENT_CLASS, 9);
      assertFalse(fixture.lastSend().worker() == full);
    }
  }

  /** With throttled tenants, a rejection for one tenant says nothing about another. */
  @Test
  void aRejectionCountsForItsTenantAndClassOnly() {
    Settings settings = DispatcherFixture.settings(false, DedupScope.ALL);
    DispatcherFixture fixture =
        new DispatcherFixture(
            new Settings(
                0,
                1,
                0,
                settings.classes(),
                List.of(new Tenant(0.5, 50), new Tenant(0.5, 50)),
                0.2,
                false,
                false,
                WeightKind.SILENT,
                List.of(),
                settings.limits(),
                settings.rules(),
                settings.loadPolicy(),
                settings.loadReportFormat(),
                settings.costs()),
            7);
    fixture.listWorkers(6).call(1, IDEMPOTENT_CLASS, 9);
    int home = fixture.lastSend().worker();
    fixture.advance(20).outcome(fixture.lastSend(), 0, OutcomeCode.OK, 20);
    fixture.advance(20).call(2, IDEMPOTENT_CLASS, 9);
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

  /** The first calls of a front end that has just started were taken for overload. */
  @Test
  void aFrontEndThatHasJustStartedRefusesNothing() {
    DispatcherFixture fixture = fixture().listWorkers(20);
    for (int id = 1; id <= 5; id++) {
      fixture
          .call(id, IDEMPOTENT_CLASS, id % 3)
          .advanceInTicks(150)
          .outcome(fixture.lastSend(), 0, OutcomeCode.OK, 150)
          .advanceInTicks(150);
    }
    assertTrue(fixture.all(Refuse.class).isEmpty());
  }

  /** A front end with three calls per second also detects an overload, and recovers from it. */
  @Test
  void aFrontEndWithFewCallsShedsWhenAnswersAreLate() {
    DispatcherFixture fixture = fixture().listWorkers(6);
    int id = 0;
    for (; id < 60; id++) {
      fixture.call(id, IDEMPOTENT_CLASS, id % 5).advanceInTicks(350);
      fixture.sends(id).forEach(s -> fixture.outcome(s, 0, OutcomeCode.OK, 1800));
    }
    int refused = fixture.all(Refuse.class).size();
    assertTrue(refused > 5 && refused < 60, "refused " + refused);
    for (; id < 120; id++) {
      fixture.call(id, IDEMPOTENT_CLASS, id % 5).advanceInTicks(350);
      fixture.sends(id).forEach(s -> fixture.outcome(s, 0, OutcomeCode.OK, 60));
    }
    int before = fixture.all(Refuse.class).size();
    for (; id < 150; id++) {
      fixture.call(id, IDEMPOTENT_CLASS, id % 5).advanceInTicks(350);
      fixture.sends(id).forEach(s -> fixture.outcome(s, 0, OutcomeCode.OK, 60));
    }
    assertEquals(before, fixture.all(Refuse.class).size());
  }

  /** All front ends kept starting loads until the store stalled. */
  @Test
  void failedLoadsShrinkTheNumberOfOwnLoads() {
    DispatcherFixture fixture = fixture().listWorkers(8);
    for (int id = 1; id <= 30; id++) {
      fixture.call(id, NOT_IDEMPOTENT_CLASS, id);
    }
    int before = fixture.all(Send.class).size();
    assertTrue(before < 30, "concurrent loads " + before);
    Send first = fixture.all(Send.class).get(0);
    fixture
        .advance(500)
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

  /** A single long call benched a worker; silence takes more than one missing answer. */
  @Test
  void silenceBenchesAWorkerAndOneLongCallDoesNot() {
    DispatcherFixture fixture = fixture().listWorkers(3);
    // All three workers have answered.
    for (int id = 1; id <= 90; id++) {
      fixture
          .advance(60)
          .call(id, IDEMPOTENT_CLASS, id % 3)
          .advance(60)
          .outcome(fixture.lastSend(), 0, OutcomeCode.OK, 60);
    }
    fixture.call(100, IDEMPOTENT_CLASS, 0).advanceInTicks(200);
    assertTrue(fixture.dispatcher.workers.values().stream().noneMatch(w -> w.benched));
    int hung = fixture.lastSend().worker();
    for (int id = 101; id < 112; id++) {
      fixture.call(id, NOT_IDEMPOTENT_CLASS, 0);
      if (fixture.lastSend().worker() != hung) {
        fixture.outcome(fixture.lastSend(), 0, OutcomeCode.OK, 30);
      }
    }
    fixture.advanceInTicks(1800);
    assertTrue(fixture.dispatcher.workers.get(hung).benched);
    assertTrue(
        fixture.all(Log.class).stream()
            .anyMatch(l -> l.text().contains("benched: failing or silent")));
  }

  @Test
  void aCommonCauseDoesNotEmptyThePool() {
    DispatcherFixture fixture = fixture().listWorkers(4);
    for (int id = 1; id < 80; id++) {
      fixture.advance(50).call(id, NOT_IDEMPOTENT_CLASS, id % 4);
      if (!fixture.sends(id).isEmpty()) {
        fixture.outcome(fixture.lastSend(), 0, OutcomeCode.ERROR, 5);
      }
      fixture.event(new TimerFired(-1));
    }
    fixture.call(1000, NOT_IDEMPOTENT_CLASS, 1);
    assertEquals(1, fixture.sends(1000).size());
  }

  // ---------------------------------------------------------------- settings and observations

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
   * The decision modules do no I/O, read no clock, start no thread and do not depend on the front
   * end around them.
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
  void decisionModulesAreFreeOfIo(String module) throws IOException {
    List<String> lines = Files.readAllLines(Path.of("src/main/java/" + module + ".java"));
    String foreign =
        "import (?!static saddlestall|saddlestall|java\\.util\\.(?!concurrent|Timer|logging)).*|.*(System\\.(?!arraycopy)|Thread|Instant\\.now).*";
    assertEquals(List.of(), lines.stream().filter(l -> l.matches(foreign)).toList());
    int maxLength = module.endsWith("AdaptiveDispatcher") ? 110 : 140;
    assertEquals(List.of(), lines.stream().filter(l -> l.length() > maxLength).toList());
  }

  /** A peer's observation attracts calls at once, and an own observation overrides it. */
  @Test
  void peerObservationsArePriors() {
    int withObservation = 0;
    int without = 0;
    for (int seed = 1; seed <= 200; seed++) {
      DispatcherFixture fixture =
          new DispatcherFixture(DispatcherFixture.settings(false, DedupScope.ALL), seed)
              .listWorkers(6)
              .call(1, IDEMPOTENT_CLASS, 7);
      without += fixture.sends(1).get(0).worker() == 4 ? 1 : 0;
      fixture =
          new DispatcherFixture(DispatcherFixture.settings(false, DedupScope.ALL), seed)
              .listWorkers(6);
      fixture
          .event(new CopyObservation(4, 7, 1_000 * MILLISECOND, 0.9))
          .call(1, IDEMPOTENT_CLASS, 7);
      withObservation += fixture.sends(1).get(0).worker() == 4 ? 1 : 0;
      List<Observation> exported = new ArrayList<>();
      fixture.exportObservations(exported::add);
      assertTrue(
          exported.stream().noneMatch(k -> k instanceof CopyObservation),
          "a peer's observation is not exported as an own one");
      fixture.outcome(fixture.sends(1).get(0), 0, OutcomeCode.OK, 100);
      fixture.exportObservations(exported::add);
      assertTrue(
          exported.stream().anyMatch(k -> k instanceof CopyObservation c && c.function() == 7));
    }
    assertTrue(
        withObservation > 3 * without,
        "sampled there " + withObservation + " times, without the observation " + without);
  }

  /** Rules 3 and 4: observations of peers do not make a draining or restarted worker usable. */
  @Test
  void peerObservationsMakeNoWorkerUsable() {
    DispatcherFixture fixture = fixture().listWorkers(3);
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

  /** Waits for loads were taken for overload, and the calls that arrived meanwhile were refused. */
  @Test
  void loadsInProgressDoNotLeadToRefusals() {
    DispatcherFixture fixture =
        new DispatcherFixture(DispatcherFixture.settings(false, DedupScope.ALL), 5).listWorkers(6);
    for (int id = 1; id <= 5; id++) {
      // Each call starts a load that takes longer than the latency target.
      fixture.call(id, IDEMPOTENT_CLASS, id);
    }
    fixture.advanceInTicks(1_000);
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
          .advanceInTicks(50);
    }
    for (int id = 6; id <= 40; id++) {
      fixture.call(id, IDEMPOTENT_CLASS, id % 5 + 1);
      assertFalse(fixture.refused(id), "call " + id);
      // The usual latency, so that all calls have the same value.
      fixture.sends(id).forEach(s -> fixture.outcome(s, 0, OutcomeCode.OK, 150));
    }
  }

  /**
   * Attempts that stay in flight for long, as when answers get lost, are no overload while the
   * other answers are fast.
   */
  @Test
  void callsInFlightAloneDoNotLeadToRefusals() {
    DispatcherFixture fixture = fixture().listWorkers(6);
    for (int id = 1; id <= 60; id++) {
      fixture.call(id, IDEMPOTENT_CLASS, id % 3).advanceInTicks(50);
      if (id % 2 == 0) {
        fixture.sends(id).forEach(s -> fixture.outcome(s, 0, OutcomeCode.OK, 60));
      }
    }
    assertTrue(fixture.all(Refuse.class).isEmpty());
  }

  /**
   * With a short latency target the prior pressure alone was taken for overload, and an idle front
   * end refused its first calls.
   */
  @Test
  void anIdleFrontEndWithAShortLatencyTargetRefusesNothing() {
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
            .listWorkers(6)
            .advanceInTicks(3_000);
    for (int id = 1; id <= 20; id++) {
      fixture.call(id, IDEMPOTENT_CLASS, 1);
    }
    assertTrue(fixture.all(Refuse.class).isEmpty());
  }

  /**
   * A late call gets one hedge to a worker with a loaded copy, if its class allows that. Covers
   * lost answers and slow workers.
   */
  @ParameterizedTest
  @EnumSource(Idempotency.class)
  void aLateCallGetsAHedge(Idempotency idempotency) {
    DispatcherFixture fixture =
        new DispatcherFixture(DispatcherFixture.settings(false, DedupScope.ZONE), 7).listWorkers(6);
    for (int id = 1; id <= 30; id++) {
      // Many calls at once, so that all workers get a copy.
      fixture.call(id, IDEMPOTENT_CLASS, 9);
    }
    fixture.advance(60);
    fixture.all(Send.class).forEach(s -> fixture.outcome(s, 0, OutcomeCode.OK, 60));
    fixture
        .advance(50)
        .call(
            100,
            idempotency.ordinal() == 0
                ? IDEMPOTENT_CLASS
                : idempotency == Idempotency.DEDUPLICATED
                    ? DEDUPLICATED_CLASS
                    : NOT_IDEMPOTENT_CLASS,
            9)
        .advanceInTicks(1_000);
    List<Send> sends = fixture.sends(100);
    assertEquals(idempotency == Idempotency.NOT_IDEMPOTENT ? 1 : 2, sends.size());
    if (idempotency != Idempotency.NOT_IDEMPOTENT) {
      assertFalse(sends.get(0).worker() == sends.get(1).worker());
      fixture.outcome(sends.get(1), 1, OutcomeCode.OK, 60).advance(50);
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
    if (idempotency == Idempotency.DEDUPLICATED) {
      assertEquals(sends.get(0).worker() % 3, sends.get(1).worker() % 3);
    }
  }

  /** All attempts that fail with one lost connection count as one failure of the worker. */
  @Test
  void aLostConnectionCountsOnce() {
    DispatcherFixture fixture = fixture().listWorkers(1);
    for (int id = 1; id <= 10; id++) {
      fixture.call(id, NOT_IDEMPOTENT_CLASS, 9);
    }
    fixture.advance(20);
    List.copyOf(fixture.all(Send.class)).forEach(s -> fixture.outcome(s, 0, OutcomeCode.RESET, 20));
    assertEquals(0.2, fixture.dispatcher.workers.get(1).failureRate, 1e-9);
  }

  /** Errors for functions that no worker knows say nothing about the health of a worker. */
  @Test
  void errorsForUnknownFunctionsBenchNoWorker() {
    DispatcherFixture fixture = fixture().listWorkers(4);
    for (int id = 1; id <= 40; id++) {
      fixture.call(id, NOT_IDEMPOTENT_CLASS, 1_000 + id).advance(5);
      fixture.sends(id).forEach(s -> fixture.outcome(s, 0, OutcomeCode.ERROR, 5));
    }
    assertTrue(fixture.dispatcher.workers.values().stream().allMatch(w -> w.failureRate == 0));
  }

  /** A call that no worker can serve is refused while its client has time left to try elsewhere. */
  @Test
  void aHeldCallIsRefusedBeforeHalfItsTimeHasPassed() {
    DispatcherFixture fixture = fixture().call(1, IDEMPOTENT_CLASS, 9).advanceInTicks(1_000);
    assertFalse(fixture.refused(1));
    assertTrue(fixture.advanceInTicks(200).refused(1));
  }

  /**
   * A function whose load outlasts each of its calls is preloaded, and its calls are served then.
   */
  @Test
  void aLoadThatOutlastsItsCallsIsPreloaded() {
    DispatcherFixture fixture =
        new DispatcherFixture(DispatcherFixture.settings(true, DedupScope.ALL), 7).listWorkers(4);
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
    // A single call does not justify the memory.
    assertTrue(fixture.all(Preload.class).isEmpty());
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
    Preload preload = fixture.all(Preload.class).get(0);
    assertEquals(9, preload.function());
    fixture
        .advance(900)
        .event(new PreloadResult(900 * MILLISECOND, 1, preload.worker(), OutcomeCode.OK, 9));
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
    assertEquals(preload.worker(), fixture.sends(3).get(0).worker());
  }

  /** A function that was never served is not tried at every worker. */
  @Test
  void aCallForAnUnknownFunctionIsTriedTwice() {
    DispatcherFixture fixture = fixture().listWorkers(6);
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

  /** A front end with few calls must not detect each failed worker of a failed hall separately. */
  @Test
  void aHallWhoseWorkersFailOneAfterTheOtherIsBenchedWhole() {
    DispatcherFixture fixture = fixture().listWorkers(45);
    int failedSends = 0;
    for (int id = 1; id <= 90; id++) {
      fixture.call(id, IDEMPOTENT_CLASS, id);
      for (int i = 0; i < fixture.sends(id).size(); i++) {
        boolean fails = fixture.sends(id).get(i).worker() % 3 == 1;
        failedSends += fails ? 1 : 0;
        fixture.outcome(
            fixture.sends(id).get(i), i, fails ? OutcomeCode.CONNECT_FAILED : OutcomeCode.OK, 10);
      }
      fixture.advanceInTicks(50);
    }
    assertTrue(failedSends <= 12, failedSends + " sends to a failed hall of 15 workers");

    fixture.advanceInTicks(1_000).call(100, IDEMPOTENT_CLASS, 100);
    assertEquals(1, fixture.lastSend().worker() % 3, "a trial");
    fixture.outcome(fixture.lastSend(), 0, OutcomeCode.OK, 10).advanceInTicks(50);
    int recoveredSends = 0;
    for (int id = 101; id <= 160; id++) {
      fixture
          .call(id, IDEMPOTENT_CLASS, id)
          .outcome(fixture.lastSend(), 0, OutcomeCode.OK, 10)
          .advanceInTicks(50);
      recoveredSends += fixture.lastSend().worker() % 3 == 1 ? 1 : 0;
    }
    assertTrue(recoveredSends > 5, "only " + recoveredSends + " sends of 60 to a recovered hall");
  }

  /**
   * An answer without a concurrency means that no other call was there, but only if the workers
   * report concurrency.
   */
  @Test
  void anAbsentConcurrencyIsZeroOnlyWhereItIsReported() {
    for (boolean reported : new boolean[] {true, false}) {
      Settings settings = DispatcherFixture.settings(true, DedupScope.ALL);
      LoadPolicy policy = settings.loadPolicy();
      DispatcherFixture fixture =
          new DispatcherFixture(
              new Settings(
                  0,
                  2,
                  0,
                  settings.classes(),
                  settings.tenants(),
                  0.2,
                  false,
                  false,
                  WeightKind.SILENT,
                  List.of(),
                  settings.limits(),
                  settings.rules(),
                  new LoadPolicy(
                      true,
                      true,
                      policy.preloadWindow(),
                      policy.freePreloads(),
                      policy.preloadsPerCall(),
                      policy.idleRetention(),
                      true,
                      reported,
                      0),
                  settings.loadReportFormat(),
                  settings.costs()),
              7);
      fixture.listWorkers(1).call(1, IDEMPOTENT_CLASS, 9);
      fixture.event(
          new AttemptOutcome(
              1, 0, 1, OutcomeCode.OK, 50 * MILLISECOND, false, CopyStatus.WARM, 0, null));
      assertEquals(
          reported ? fixture.now : 0,
          fixture.dispatcher.workers.get(1).copies.get(9L).concurrencyReportedAt);
    }
  }

  /**
   * The failing workers of the only hall are benched one by one: benched as a whole, its healthy
   * and failing workers would be treated alike.
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
        // The others have not answered yet.
        if (fixture.sends(id).get(i).worker() <= 6) {
          fixture.outcome(fixture.sends(id).get(i), i, OutcomeCode.CONNECT_FAILED, 10);
        }
      }
      fixture.advanceInTicks(20);
    }
    assertTrue(
        fixture.all(Log.class).stream().noneMatch(l -> l.text().contains("hall")),
        fixture.all(Log.class).toString());
  }

  /** A few failing workers in a hall say nothing about the others there. */
  @Test
  void aHallWithOneFailingWorkerIsUsed() {
    DispatcherFixture fixture = fixture().listWorkers(30);
    int hallSends = 0;
    for (int id = 1; id <= 200; id++) {
      fixture.call(id, IDEMPOTENT_CLASS, id % 20);
      for (int i = 0; i < fixture.sends(id).size(); i++) {
        int worker = fixture.sends(id).get(i).worker();
        fixture.outcome(
            fixture.sends(id).get(i),
            i,
            worker == 1 || worker == 4 ? OutcomeCode.CONNECT_FAILED : OutcomeCode.OK,
            10);
        hallSends += worker % 3 == 1 && worker > 4 ? 1 : 0;
      }
      fixture.advanceInTicks(50);
    }
    assertTrue(hallSends > 20, "only " + hallSends + " sends to the healthy workers of the hall");
  }

  private static Settings settingsWithFrontEnds(int frontEndCount) {
    Settings settings = DispatcherFixture.settings(true, DedupScope.ALL);
    return new Settings(
        0,
        frontEndCount,
        0,
        settings.classes(),
        settings.tenants(),
        settings.overShareValueFactor(),
        false,
        false,
        settings.weightKind(),
        settings.kindMemoryMb(),
        settings.limits(),
        settings.rules(),
        settings.loadPolicy(),
        settings.loadReportFormat(),
        settings.costs());
  }

  /**
   * Most preloads for the further homes of a function would find a copy that another front end has
   * loaded.
   */
  @Test
  void manyFrontEndsSendFewPreloadsForTheSameHomes() {
    int preloads = 0;
    for (int seed = 1; seed <= 14; seed++) {
      DispatcherFixture fixture =
          new DispatcherFixture(settingsWithFrontEnds(14), seed).listWorkers(20);
      for (int id = 1; id <= 200; id++) {
        fixture.call(id, IDEMPOTENT_CLASS, id % 4);
        fixture.outcome(fixture.lastSend(), 0, OutcomeCode.OK, 20).advanceInTicks(50);
      }
      preloads += fixture.all(Preload.class).size();
    }
    assertTrue(preloads <= 10, preloads + " preloads of 14 front ends for four functions");
  }

  /**
   * A preload for an unreachable worker would arrive together with later ones and exceed the limit
   * then.
   */
  @Test
  void aSilentWorkerGetsNoPreloads() {
    DispatcherFixture fixture = new DispatcherFixture(settingsWithFrontEnds(14), 7).listWorkers(1);
    fixture.call(1, IDEMPOTENT_CLASS, 1).outcome(fixture.lastSend(), 0, OutcomeCode.OK, 20);
    // No answer arrives.
    fixture.call(2, NOT_IDEMPOTENT_CLASS, 1).advanceInTicks(2_000);
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
          .advance(20);
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

  /** Only calls that certainly count for the preload limit extend it, not the clients' retries. */
  @Test
  void retriedCallsEarnNoPreloads() {
    int first = 0;
    int retried = 0;
    for (boolean retry : new boolean[] {false, true}) {
      DispatcherFixture fixture =
          new DispatcherFixture(settingsWithFrontEnds(14), 7).listWorkers(20);
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
                    retry,
                    false,
                    900 * MILLISECOND))
            .advance(20);
      }
      first += retry ? 0 : fixture.all(Preload.class).size();
      retried += retry ? fixture.all(Preload.class).size() : 0;
    }
    assertEquals(2, retried, "the free preloads");
    assertTrue(first > 10, first + " preloads");
  }

  /**
   * One call per second reveals a slow worker if its latency ratio is not forgotten within five
   * seconds.
   */
  @Test
  void aSlowWorkerIsDetectedByFewCalls() {
    DispatcherFixture fixture = new DispatcherFixture(settingsWithFrontEnds(14), 7).listWorkers(40);
    double slowest = 0;
    for (int id = 1; id <= 400; id++) {
      fixture.call(id, IDEMPOTENT_CLASS, id % 120);
      boolean slow = fixture.lastSend().worker() == 3 || fixture.lastSend().worker() == 4;
      fixture.outcome(fixture.lastSend(), 0, OutcomeCode.OK, slow ? 400 : 60).advanceInTicks(50);
      slowest =
          Math.max(
              fixture.dispatcher.workers.get(3).latencyRatio,
              fixture.dispatcher.workers.get(4).latencyRatio);
    }
    assertTrue(slowest > 2, "latency ratio " + slowest);
  }

  /**
   * A copy requested by peers is preloaded: within the limit, for a known function, and never at a
   * cold or draining worker.
   */
  @Test
  void aCopyThatPeersRequestIsPreloadedWithinTheLimit() {
    DispatcherFixture fixture =
        new DispatcherFixture(DispatcherFixture.settings(true, DedupScope.ALL), 7)
            .listWorkers(3)
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
    // Function 10 was never called.
    fixture.event(new CopyRequested(1, 10));
    assertEquals(0, fixture.all(Preload.class).size());
    for (int i = 0; i < 5; i++) {
      fixture.event(new CopyRequested(1, 9));
    }
    assertEquals(2, fixture.all(Preload.class).size(), "two are free, and one call earns none");
  }

  /** In a deployment without a preload limit no default limit applies. */
  @Test
  void anAbsentPreloadLimitIsNoLimit() {
    Settings settings = DispatcherFixture.settings(true, DedupScope.ALL);
    Settings unlimited =
        new Settings(
            0,
            2,
            0,
            settings.classes(),
            settings.tenants(),
            0.2,
            false,
            false,
            WeightKind.SILENT,
            List.of(),
            settings.limits(),
            settings.rules(),
            new LoadPolicy(true, true, 0, 0, 0, 10 * SECOND, false, true, 0),
            settings.loadReportFormat(),
            settings.costs());
    DispatcherFixture fixture =
        new DispatcherFixture(unlimited, 7).listWorkers(3).call(1, IDEMPOTENT_CLASS, 9);
    for (int i = 0; i < 50; i++) {
      fixture.event(new CopyRequested(1, 9));
    }
    assertEquals(50, fixture.all(Preload.class).size());
  }

  /**
   * An observation of a peer counts if it is more recent than the own one; a benched worker gets a
   * trial call once a peer reports that it answers.
   */
  @Test
  void laterPeerObservationsBenchAndAllowATrial() {
    DispatcherFixture fixture = fixture().listWorkers(6).call(1, IDEMPOTENT_CLASS, 9);
    int worker = fixture.lastSend().worker();
    fixture.outcome(fixture.lastSend(), 0, OutcomeCode.OK, 20).advance(100);
    // Observed before the answer.
    fixture.event(new WorkerObservation(worker, 1, 1, 200 * MILLISECOND, 1)).advanceInTicks(100);
    assertFalse(fixture.dispatcher.workers.get(worker).benched);
    fixture.event(new WorkerObservation(worker, 1, 1, 0, 1)).advanceInTicks(100);
    assertTrue(fixture.dispatcher.workers.get(worker).benched);
    // Reported repeatedly, as by a prober.
    for (int id = 2; id < 60; id++) {
      fixture.call(id, IDEMPOTENT_CLASS, id).advanceInTicks(50);
      fixture.outcome(fixture.lastSend(), 0, OutcomeCode.OK, 50);
      fixture.event(new WorkerObservation(worker, 1, 1, 0, 1));
    }
    assertEquals(
        1,
        fixture.all(Send.class).stream().filter(s -> s.worker() == worker).count(),
        "sends to the benched worker");
    fixture.event(new WorkerObservation(worker, 1, 0, 0, 1)).call(60, IDEMPOTENT_CLASS, 60);
    assertEquals(worker, fixture.lastSend().worker(), "tried at once");
  }
}
