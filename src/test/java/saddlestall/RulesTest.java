package saddlestall;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static saddlestall.DispatcherFixture.MILLISECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import saddlestall.Dispatcher.*;

/**
 * Checks the rules 1, 2, 3 and 5 and the attempt limit over long random sequences of valid events.
 * This is a test of invariants: the events are drawn without a model of a server.
 */
class RulesTest {
  private static final int STEPS = 6_000;

  /** What the checker tracks of a call. */
  private static final class TrackedCall {
    CallArrival call;
    long deadline;
    int sent;
    Send inFlight;
    boolean mayHaveRun;
    int firstRunCell;
    long firstRunAt;
    boolean finished;
  }

  private final Map<Integer, TrackedCall> calls = new TreeMap<>();
  private final Map<Integer, WorkerEntry> workers = new TreeMap<>();
  private final List<Long> arrivalTimes = new ArrayList<>();
  private final List<Long> preloadTimes = new ArrayList<>();
  private final StringBuilder trace = new StringBuilder();
  private DispatcherFixture fixture;
  private int checked;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void rulesHold(long seed) {
    run(seed);
    assertTrue(calls.size() > 500);
    String first = trace.toString();
    RulesTest again = new RulesTest();
    again.run(seed);
    assertEquals(first, again.trace.toString(), "the same events give the same actions");
  }

  private void run(long seed) {
    Settings settings = DispatcherFixture.settings(true, DedupScope.CELL);
    fixture = new DispatcherFixture(settings, seed);
    Random random = new Random(seed);
    int id = 0;
    for (int step = 0; step < STEPS; step++) {
      fixture.now += random.nextInt(20) * MILLISECOND;
      expireDeadlines();
      switch (random.nextInt(10)) {
        case 0 -> updateWorkers(random);
        case 1, 2 -> fixture.event(new TimerFired(-1));
        case 3, 4, 5 -> {
          TrackedCall tracked = new TrackedCall();
          tracked.call =
              new CallArrival(
                  ++id,
                  (1 + random.nextInt(2500)) * MILLISECOND,
                  random.nextInt(2) * 50 * MILLISECOND,
                  random.nextInt(12),
                  1,
                  300,
                  random.nextInt(3),
                  0,
                  random.nextBoolean(),
                  false,
                  random.nextInt(800) * MILLISECOND);
          tracked.deadline = fixture.now + tracked.call.budget();
          calls.put(id, tracked);
          arrivalTimes.add(fixture.now);
          fixture.event(tracked.call);
        }
        default -> reportOutcome(random, settings);
      }
      checkActions(settings);
    }
    fixture.now += 10_000 * MILLISECOND;
    expireDeadlines();
    checkActions(settings);
    calls
        .values()
        .forEach(
            tracked ->
                assertTrue(tracked.finished, "call " + tracked.call.id() + " has no final answer"));
  }

  private void expireDeadlines() {
    for (TrackedCall tracked : new ArrayList<>(calls.values())) {
      if (!tracked.finished && tracked.deadline <= fixture.now) {
        fixture.event(new TimerFired(tracked.call.id()));
        checkActions(DispatcherFixture.settings(true, DedupScope.CELL));
        assertTrue(
            tracked.finished, "call " + tracked.call.id() + " has no answer at its deadline");
      }
    }
  }

  private void updateWorkers(Random random) {
    List<WorkerEntry> entries = new ArrayList<>();
    for (int worker = 1; worker <= 6; worker++) {
      if (random.nextInt(3) == 0) {
        WorkerState state = WorkerState.values()[Math.min(2, random.nextInt(6))];
        entries.add(
            DispatcherFixture.entry(
                worker,
                random.nextInt(2) == 0 ? WorkerState.READY : state,
                random.nextInt(4) == 0 ? fixture.now : 0));
      }
    }
    entries.forEach(entry -> workers.put(entry.worker(), entry));
    fixture.event(new WorkerListUpdate(ListKind.DELTA, entries));
  }

  private void reportOutcome(Random random, Settings settings) {
    List<TrackedCall> inFlight =
        calls.values().stream().filter(tracked -> tracked.inFlight != null).toList();
    if (inFlight.isEmpty()) {
      return;
    }
    TrackedCall tracked = inFlight.get(random.nextInt(inFlight.size()));
    OutcomeCode code = OutcomeCode.values()[random.nextInt(OutcomeCode.values().length)];
    Send send = tracked.inFlight;
    tracked.inFlight = null;
    if (!code.notRun && !tracked.mayHaveRun) {
      tracked.mayHaveRun = true;
      tracked.firstRunCell = workers.get(send.worker()).cell();
      tracked.firstRunAt = fixture.now - 5 * MILLISECOND;
    }
    boolean closed = tracked.finished || code == OutcomeCode.OK;
    tracked.finished = closed;
    fixture.event(
        new AttemptOutcome(
            send.call(),
            tracked.sent - 1,
            send.worker(),
            code,
            900 * MILLISECOND,
            closed,
            CopyStatus.values()[random.nextInt(5)],
            random.nextInt(5) - 1,
            null));
  }

  private void checkActions(Settings settings) {
    for (; checked < fixture.actions.size(); checked++) {
      Action action = fixture.actions.get(checked);
      trace.append(action).append('\n');
      if (action instanceof Send a) {
        checkSend(a, settings);
      } else if (action instanceof Refuse a) {
        TrackedCall tracked = finish(a.call());
        Idempotency idempotency = settings.classes().get(tracked.call.callClass()).idempotency();
        assertTrue(
            idempotency == Idempotency.IDEMPOTENT
                || !tracked.mayHaveRun && tracked.inFlight == null,
            "refused, but may have run");
      } else if (action instanceof Fail a) {
        finish(a.call());
      } else if (action instanceof Preload a) {
        assertEquals(WorkerState.READY, workers.get(a.worker()).state(), "rule 3, preload");
        preloadTimes.add(fixture.now);
        long policyWindowStart = fixture.now - settings.loadPolicy().preloadWindow();
        // A preload arrives up to a connect timeout later and then counts together with those sent
        // in the meantime.
        long windowStart = policyWindowStart - settings.limits().connectTimeout();
        long sent = preloadTimes.stream().filter(t -> t >= windowStart).count();
        long arrived = arrivalTimes.stream().filter(t -> t > policyWindowStart).count();
        assertTrue(
            sent
                <= settings.loadPolicy().freePreloads()
                    + settings.loadPolicy().preloadsPerCall() * arrived,
            "rule 5");
      }
    }
  }

  private TrackedCall finish(int call) {
    TrackedCall tracked = calls.get(call);
    assertTrue(!tracked.finished, "a second answer for call " + call);
    tracked.finished = true;
    return tracked;
  }

  private void checkSend(Send send, Settings settings) {
    TrackedCall tracked = calls.get(send.call());
    CallClass callClass = settings.classes().get(tracked.call.callClass());
    assertTrue(!tracked.finished, "sent after its final answer");
    assertTrue(tracked.inFlight == null, "two attempts in flight");
    assertTrue(++tracked.sent <= settings.limits().maxAttempts(), "too many attempts");
    assertEquals(WorkerState.READY, workers.get(send.worker()).state(), "rule 3");
    if (tracked.mayHaveRun) {
      assertTrue(
          callClass.idempotency() != Idempotency.NOT_IDEMPOTENT,
          "a non-idempotent call was sent again");
      if (callClass.idempotency() == Idempotency.DEDUPLICATED) {
        assertEquals(
            tracked.firstRunCell, workers.get(send.worker()).cell(), "repeated outside the cell");
      }
    }
    tracked.inFlight = send;
  }
}
