package saddlestall;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import saddlestall.Dispatcher.*;

/**
 * Shows how a front end embeds the module: it passes events with the clock and carries out actions
 * and timers.
 */
class EmbeddingTest {
  private record PendingTimer(long at, long token) {}

  private final PriorityQueue<PendingTimer> timers =
      new PriorityQueue<>((a, b) -> Long.compare(a.at(), b.at()));
  private final List<Send> sends = new ArrayList<>();
  private final List<String> answers = new ArrayList<>();
  private long now = 1_000_000;

  private void carryOut(Action action) {
    if (action instanceof Send a) {
      // A real front end would send the call to worker a.worker() here.
      sends.add(a);
    } else if (action instanceof Refuse a) {
      answers.add("refused " + a.call());
    } else if (action instanceof Fail a) {
      answers.add("failed " + a.call());
    } else if (action instanceof StartTimer a) {
      timers.add(new PendingTimer(now + a.delay(), a.token()));
    }
  }

  @Test
  void servesACall() {
    Consumer<Action> actions = this::carryOut;
    Dispatcher dispatcher =
        new AdaptiveDispatcher(DispatcherFixture.settings(false, DedupScope.ALL), 42, now, actions);
    dispatcher.handle(
        now,
        new WorkerListUpdate(
            ListKind.FULL,
            List.of(
                new WorkerEntry(11, 0, 0, 0, WorkerState.READY, 1, 0),
                new WorkerEntry(12, 1, 0, 0, WorkerState.READY, 1, 0))),
        actions);
    dispatcher.handle(
        now, new CallArrival(1, 2_500_000, 0, 7, 2, 300, 0, 0, false, false, 500_000), actions);
    Send send = sends.get(0);

    // The worker's answer arrives.
    now += 620_000;
    dispatcher.handle(
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
    // The timers of the next three seconds expire.
    while (!timers.isEmpty() && timers.peek().at() < 4_000_000) {
      now = Math.max(now, timers.peek().at());
      dispatcher.handle(now, new TimerFired(timers.poll().token()), actions);
    }
    assertEquals(1, sends.size());
    assertEquals(List.of(), answers);
  }
}
