package umberrun;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntToLongFunction;

/**
 * An emulated worker that records the work it is sent. While draining it rejects new work with 503
 * but still answers probes positively, which no front end may take as permission to send work.
 */
final class DrainableWorker {
  /**
   * How long after its drain a worker may still get work: the delay after which a drain counts as
   * reported, the grace of the settings, and a tolerance for timers.
   */
  static final long TOLD_AND_GRACE_MILLIS = 7_000 + 1_000 + 50;

  /**
   * Call ids are allotted to the client of each front end in blocks of this size, so an id shows
   * the front end that the call came through.
   */
  private static final long IDS_PER_FRONT_END = 1_000_000;

  final int number;

  /** Calls received. */
  final AtomicInteger receivedWork = new AtomicInteger();

  /** Preload requests received. */
  final AtomicInteger preloads = new AtomicInteger();

  /** Calls and preload requests that came too long after the drain. */
  final ConcurrentLinkedQueue<String> late = new ConcurrentLinkedQueue<>();

  private final Processes fleet;
  private final IntToLongFunction allowedMillis;
  private volatile long drainedAt;
  private volatile boolean draining;

  /**
   * @param allowedMillis how long after its drain the worker may get calls of a front end, by the
   *     index of the front end, or preload requests, with index -1
   */
  DrainableWorker(Processes fleet, int number, IntToLongFunction allowedMillis) {
    this.fleet = fleet;
    this.number = number;
    this.allowedMillis = allowedMillis;
    fleet.workers.get(number).handler = this::serve;
  }

  private void serve(Scenario.Command command) {
    List<String> words = command.words();
    boolean isPreload = words.get(0).equals("HOLD") && !words.get(2).endsWith("pods=0");
    boolean isWork = isPreload || words.get(0).equals("RUN");
    boolean rejects = draining;
    if (isWork) {
      (isPreload ? preloads : receivedWork).incrementAndGet();
      long sinceDrainMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - drainedAt);
      int frontEnd = isPreload ? -1 : (int) (Long.parseLong(words.get(1), 16) / IDS_PER_FRONT_END);
      if (rejects && sinceDrainMillis > allowedMillis.applyAsLong(frontEnd)) {
        late.add(words.get(0) + " " + words.get(1) + " at " + sinceDrainMillis + " ms");
      }
    }
    if (!words.get(0).equals("STOP") && !words.get(0).equals("FREE")) {
      answer(
          command,
          isWork && rejects ? "503" : isWork || words.get(0).equals("HOLD") ? "200" : "alive");
    }
  }

  private static void answer(Scenario.Command command, String status) {
    boolean isCall = command.words().get(0).equals("RUN");
    try {
      Scenario.Worker.answer(
          command,
          status,
          status.equals("503") ? "-" : isCall ? "n=w" : "pods=1",
          isCall ? command.words().get(3) : "");
    } catch (IOException e) {
      // The front end has closed the connection.
    }
  }

  /** Whether the worker rejects work. */
  boolean isDraining() {
    return draining;
  }

  /** Rejects work from now on, and has discovery list the worker as terminating. */
  void drain() {
    drainedAt = System.nanoTime();
    draining = true;
    fleet.addWorkerEvent(number, "terminating", 0);
  }

  /** Accepts work again, and has discovery list the worker as newly started. */
  void resume() {
    draining = false;
    fleet.addWorkerEvent(number, "in_service", System.currentTimeMillis());
  }
}
