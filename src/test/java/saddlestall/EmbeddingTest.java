package saddlestall;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import saddlestall.Dispatcher.*;

/** How a front end embeds the module: feed events with the clock, carry out actions and timers. */
class EmbeddingTest {
  private record Alarm(long at, long token) {}

  private final PriorityQueue<Alarm> alarms =
      new PriorityQueue<>((a, b) -> Long.compare(a.at(), b.at()));
  private final List<Send> sends = new ArrayList<>();
  private final List<String> answers = new ArrayList<>();
  private long now = 1_000_000;

  private void carryOut(Action action) {
    if (action instanceof Send a) {
      sends.add(a); // put the call on the wire to a.worker()
    } else if (action instanceof Refuse a) {
      answers.add("refused " + a.call());
    } else if (action instanceof Fail a) {
      answers.add("failed " + a.call());
    } else if (action instanceof StartTimer a) {
      alarms.add(new Alarm(now + a.delay(), a.token()));
    }
  }

  @Test
  void servesACall() {
    Consumer<Action> actions = this::carryOut;
    Dispatcher front =
        new AdaptiveDispatcher(DispatcherFixture.settings(false, DedupScope.ALL), 42, now, actions);
    front.handle(
        now,
        new WorkerListUpdate(
            ListKind.FULL,
            List.of(
                new WorkerEntry(11, 0, 0, 0, WorkerState.READY, 1, 0),
                new WorkerEntry(12, 1, 0, 0, WorkerState.READY, 1, 0))),
        actions);
    front.handle(
        now, new CallArrival(1, 2_500_000, 0, 7, 2, 300, 0, 0, false, false, 500_000), actions);
    Send send = sends.get(0);

    now += 620_000; // the worker's answer comes
    front.handle(
        now,
        new AttemptOutcome(
            send.call(),
            0,
            send.worker(),
            OutcomeCode.OK,
            620_000,
            true,
            CopyStatus.BEGAN_LOAD,
            0,
            null),
        actions);
    while (!alarms.isEmpty() && alarms.peek().at() < 4_000_000) { // the timers of three seconds
      now = Math.max(now, alarms.peek().at());
      front.handle(now, new TimerFired(alarms.poll().token()), actions);
    }
    assertEquals(1, sends.size());
    assertEquals(List.of(), answers);
  }
}
