package umberrun;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntToLongFunction;

/**
 * A stand-in worker that notes what comes. Draining, it turns new work away, and says to whoever
 * just asks that it is well: no front end may take that for a permission.
 */
final class DrainableWorker {
  /**
   * After which what discovery has to tell counts as told, the settings' grace, and the slack of
   * all time limits.
   */
  static final long TOLD_AND_GRACE_MILLIS = 7_000 + 1_000 + 50;

  /** Ids of calls tell which front end's client made them. */
  private static final long IDS_EACH = 1_000_000;

  final int number;
  final AtomicInteger work = new AtomicInteger();
  final AtomicInteger orders = new AtomicInteger();

  /** Calls and orders that came too long after the drain. */
  final ConcurrentLinkedQueue<String> late = new ConcurrentLinkedQueue<>();

  private final Processes fleet;
  private final IntToLongFunction allowedMillis;
  private volatile long drainsAt;
  private volatile boolean drains;

  /**
   * @param allowedMillis for how long after its drain it may get work from the clients of a front
   *     end; of orders with -1
   */
  DrainableWorker(Processes fleet, int number, IntToLongFunction allowedMillis) {
    this.fleet = fleet;
    this.number = number;
    this.allowedMillis = allowedMillis;
    fleet.workers.get(number).serves = this::serve;
  }

  private void serve(Scenario.Command command) {
    List<String> words = command.words();
    boolean order = words.get(0).equals("HOLD") && !words.get(2).endsWith("pods=0");
    boolean isWork = order || words.get(0).equals("RUN");
    boolean turnsAway = drains;
    if (isWork) {
      (order ? orders : work).incrementAndGet();
      long since = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - drainsAt);
      int node = order ? -1 : (int) (Long.parseLong(words.get(1), 16) / IDS_EACH);
      if (turnsAway && since > allowedMillis.applyAsLong(node)) {
        late.add(words.get(0) + " " + words.get(1) + " at " + since + " ms");
      }
    }
    if (!words.get(0).equals("STOP") && !words.get(0).equals("FREE")) {
      answer(
          command,
          isWork && turnsAway ? "503" : isWork || words.get(0).equals("HOLD") ? "200" : "alive");
    }
  }

  private static void answer(Scenario.Command command, String word) {
    boolean call = command.words().get(0).equals("RUN");
    try {
      Scenario.Worker.answer(
          command,
          word,
          word.equals("503") ? "-" : call ? "n=w" : "pods=1",
          call ? command.words().get(3) : "");
    } catch (IOException e) {
      // the front end has closed
    }
  }

  boolean isDraining() {
    return drains;
  }

  /** Turns work away from now on; discovery has it to tell. */
  void drain() {
    drainsAt = System.nanoTime();
    drains = true;
    fleet.list(number, "terminating", 0);
  }

  /** Takes work again, as one that has just started; discovery has that to tell. */
  void comeBack() {
    drains = false;
    fleet.list(number, "in_service", System.currentTimeMillis());
  }
}
