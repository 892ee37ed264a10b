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
 * Checks rules 1, 2, 3 and 5 and the attempt limits over long random scripts of legal events. A
 * test of invariants: the events are drawn without a model of any server.
 */
class RulesTest {
  private static final int STEPS = 6_000;

  /** What the checker knows of a call. */
  private static final class Seen {
    CallArrival call;
    long deadline;
    int sent;
    Send out;
    boolean mayHaveRun;
    int ranCell;
    long ranSince;
    boolean over;
  }

  private final Map<Integer, Seen> calls = new TreeMap<>();
  private final Map<Integer, WorkerEntry> list = new TreeMap<>();
  private final List<Long> took = new ArrayList<>();
  private final List<Long> orders = new ArrayList<>();
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
    Settings s = DispatcherFixture.settings(true, DedupScope.CELL);
    fixture = new DispatcherFixture(s, seed);
    Random r = new Random(seed);
    int id = 0;
    for (int step = 0; step < STEPS; step++) {
      fixture.now += r.nextInt(20) * MILLISECOND;
      deadlines();
      switch (r.nextInt(10)) {
        case 0 -> members(r);
        case 1, 2 -> fixture.event(new TimerFired(-1));
        case 3, 4, 5 -> {
          Seen seen = new Seen();
          seen.call =
              new CallArrival(
                  ++id,
                  (1 + r.nextInt(2500)) * MILLISECOND,
                  r.nextInt(2) * 50 * MILLISECOND,
                  r.nextInt(12),
                  1,
                  300,
                  r.nextInt(3),
                  0,
                  r.nextBoolean(),
                  false,
                  r.nextInt(800) * MILLISECOND);
          seen.deadline = fixture.now + seen.call.budget();
          calls.put(id, seen);
          took.add(fixture.now);
          fixture.event(seen.call);
        }
        default -> outcome(r, s);
      }
      check(s);
    }
    fixture.now += 10_000 * MILLISECOND;
    deadlines();
    check(s);
    calls.values().forEach(c -> assertTrue(c.over, "call " + c.call.id() + " was lost"));
  }

  private void deadlines() {
    for (Seen c : new ArrayList<>(calls.values())) {
      if (!c.over && c.deadline <= fixture.now) {
        fixture.event(new TimerFired(c.call.id()));
        check(DispatcherFixture.settings(true, DedupScope.CELL));
        assertTrue(c.over, "call " + c.call.id() + " has no answer at its deadline");
      }
    }
  }

  private void members(Random r) {
    List<WorkerEntry> lines = new ArrayList<>();
    for (int w = 1; w <= 6; w++) {
      if (r.nextInt(3) == 0) {
        WorkerState state = WorkerState.values()[Math.min(2, r.nextInt(6))];
        lines.add(
            DispatcherFixture.entry(
                w,
                r.nextInt(2) == 0 ? WorkerState.READY : state,
                r.nextInt(4) == 0 ? fixture.now : 0));
      }
    }
    lines.forEach(m -> list.put(m.worker(), m));
    fixture.event(new WorkerListUpdate(ListKind.DELTA, lines));
  }

  private void outcome(Random r, Settings s) {
    List<Seen> out = calls.values().stream().filter(c -> c.out != null).toList();
    if (out.isEmpty()) {
      return;
    }
    Seen c = out.get(r.nextInt(out.size()));
    OutcomeCode code = OutcomeCode.values()[r.nextInt(OutcomeCode.values().length)];
    Send send = c.out;
    c.out = null;
    if (!code.notRun && !c.mayHaveRun) {
      c.mayHaveRun = true;
      c.ranCell = list.get(send.worker()).cell();
      c.ranSince = fixture.now - 5 * MILLISECOND;
    }
    boolean closed = c.over || code == OutcomeCode.OK;
    c.over = closed;
    fixture.event(
        new AttemptOutcome(
            send.call(),
            c.sent - 1,
            send.worker(),
            code,
            900 * MILLISECOND,
            closed,
            CopyStatus.values()[r.nextInt(5)],
            r.nextInt(5) - 1,
            null));
  }

  private void check(Settings s) {
    for (; checked < fixture.actions.size(); checked++) {
      Action action = fixture.actions.get(checked);
      trace.append(action).append('\n');
      if (action instanceof Send a) {
        checkSend(a, s);
      } else if (action instanceof Refuse a) {
        Seen c = answered(a.call());
        Idempotency effect = s.classes().get(c.call.callClass()).idempotency();
        assertTrue(
            effect == Idempotency.IDEMPOTENT || !c.mayHaveRun && c.out == null,
            "refused, but may have run");
      } else if (action instanceof Fail a) {
        answered(a.call());
      } else if (action instanceof Preload a) {
        assertEquals(WorkerState.READY, list.get(a.worker()).state(), "rule 3, order");
        orders.add(fixture.now);
        long since = fixture.now - s.loadPolicy().preloadWindow();
        // Orders arrive up to a connect later, and then count together with those given in the
        // meantime.
        long waited = since - s.limits().connectTimeout();
        long given = orders.stream().filter(t -> t >= waited).count();
        long taken = took.stream().filter(t -> t > since).count();
        assertTrue(
            given <= s.loadPolicy().freePreloads() + s.loadPolicy().preloadsPerCall() * taken,
            "rule 5");
      }
    }
  }

  private Seen answered(int call) {
    Seen c = calls.get(call);
    assertTrue(!c.over, "a second answer for call " + call);
    c.over = true;
    return c;
  }

  private void checkSend(Send a, Settings s) {
    Seen c = calls.get(a.call());
    CallClass kind = s.classes().get(c.call.callClass());
    assertTrue(!c.over, "sent after its answer");
    assertTrue(c.out == null, "two attempts at once");
    assertTrue(++c.sent <= s.limits().maxAttempts(), "too many attempts");
    assertEquals(WorkerState.READY, list.get(a.worker()).state(), "rule 3");
    if (c.mayHaveRun) {
      assertTrue(kind.idempotency() != Idempotency.NOT_IDEMPOTENT, "an unsafe call sent again");
      if (kind.idempotency() == Idempotency.DEDUPLICATED) {
        assertEquals(c.ranCell, list.get(a.worker()).cell(), "outside the cell");
      }
    }
    c.out = a;
  }
}
