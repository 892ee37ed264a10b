package umberrun;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import umberrun.Scenario.Command;

/**
 * Makes a stand-in worker behave like a real one: calls run on lanes and wait in a bounded queue, a
 * function needs a loaded copy, loading takes time, and the least recently used copy is evicted
 * when there are too many. It starts without copies. The sizes and times are not those of a
 * particular machine.
 */
final class EmulatedWorker {
  static final long LOAD_MILLIS = 250;

  /** The mean of the exponentially distributed run times. */
  private static final double MEAN_RUN_MILLIS = 16;

  private static final int LANES = 2;
  private static final int MAX_QUEUED = 24;
  private static final int MAX_COPIES = 10;
  private static final int MICROS_PER_MILLI = 1_000;
  private static final ScheduledExecutorService SCHEDULER =
      Executors.newScheduledThreadPool(
          2,
          r -> {
            Thread t = new Thread(r, "emulated");
            t.setDaemon(true);
            return t;
          });

  /** The note of a command that only asks to load a copy. */
  private static final String PRELOAD_NOTE = "h";

  /**
   * A command that waits for a copy or a lane.
   *
   * @param note the state of the copy when the command arrived: {@code w} loaded, {@code c} this
   *     command began the load, {@code j} it joined a load; {@code h} for a command that only asks
   *     to load a copy
   */
  private record Waiting(Command command, String note) {}

  private final Random random;

  /** Functions with a loaded copy, the most recently used last. */
  private final Map<String, Boolean> copies = new LinkedHashMap<>(16, 0.75f, true);

  private final Map<String, Deque<Waiting>> loading = new LinkedHashMap<>();
  private final Deque<Waiting> queue = new ArrayDeque<>();
  private int running;
  private double failureShare;
  private int loads;
  private int commands;

  EmulatedWorker(Scenario.Worker worker, long seed) {
    random = new Random(seed);
    worker.handler = this::receive;
  }

  /** Discards all loaded copies, as a machine does that restarts after maintenance. */
  synchronized void restart() {
    copies.clear();
  }

  /** Makes this share of the calls fail from now on. */
  synchronized void setFailureShare(double share) {
    failureShare = share;
  }

  /** The number of loads so far. */
  synchronized int loads() {
    return loads;
  }

  /** The number of calls and preload commands received so far. */
  synchronized int runs() {
    return commands;
  }

  private synchronized void receive(Command command) {
    switch (command.words().get(0)) {
      case "RUN" -> {
        commands++;
        String function = field(command, "asset");
        if (copies.containsKey(function)) {
          // Marks the copy as the most recently used.
          copies.get(function);
          enqueue(new Waiting(command, "w"));
        } else {
          boolean first = !loading.containsKey(function);
          load(function).add(new Waiting(command, first ? "c" : "j"));
        }
      }
      case "HOLD" -> {
        commands++;
        String function = field(command, "asset");
        if (copies.containsKey(function)) {
          answer(command, "200", "pods=1", "");
        } else {
          load(function).add(new Waiting(command, PRELOAD_NOTE));
        }
      }
      case "INFO" -> answer(command, "alive", "l=util:" + (double) running / LANES, "");
      case "NOOP" -> answer(command, "alive", "-", "");
      default -> {}
    }
  }

  /** The value of a field of a command, empty where it is absent. */
  private static String field(Command command, String name) {
    return List.of(command.words().get(2).split(",")).stream()
        .filter(f -> f.startsWith(name + "="))
        .findFirst()
        .orElse("=")
        .split("=", 2)[1];
  }

  /** Starts to load a function, unless a load is under way, and returns the commands that wait. */
  private Deque<Waiting> load(String function) {
    return loading.computeIfAbsent(
        function,
        f -> {
          loads++;
          SCHEDULER.schedule(() -> loaded(f), LOAD_MILLIS, TimeUnit.MILLISECONDS);
          return new ArrayDeque<>();
        });
  }

  private synchronized void loaded(String function) {
    copies.put(function, true);
    if (copies.size() > MAX_COPIES) {
      copies.remove(copies.keySet().iterator().next());
    }
    loading
        .remove(function)
        .forEach(
            waiting -> {
              if (waiting.note.equals(PRELOAD_NOTE)) {
                answer(waiting.command, "200", "pods=1", "");
              } else {
                enqueue(waiting);
              }
            });
  }

  /** Queues a call whose copy is loaded, or answers that the queue is full. */
  private void enqueue(Waiting waiting) {
    if (queue.size() >= MAX_QUEUED) {
      answer(waiting.command, "503", "-", "");
      return;
    }
    queue.add(waiting);
    runQueued();
  }

  /** Starts queued calls while a lane is free. */
  private void runQueued() {
    while (running < LANES && !queue.isEmpty()) {
      Waiting waiting = queue.poll();
      running++;
      SCHEDULER.schedule(
          () -> complete(waiting),
          (long) (-Math.log(1 - random.nextDouble()) * MEAN_RUN_MILLIS * MICROS_PER_MILLI),
          TimeUnit.MICROSECONDS);
    }
  }

  private synchronized void complete(Waiting waiting) {
    running--;
    boolean fails = random.nextDouble() < failureShare;
    answer(
        waiting.command,
        fails ? "500" : "200",
        "n=" + waiting.note,
        fails ? "" : waiting.command.words().get(3));
    runQueued();
  }

  private static void answer(Command command, String word, String fields, String body) {
    try {
      Scenario.Worker.answer(command, word, fields, body);
    } catch (IOException e) {
      // The front end that sent the command has closed the connection.
      return;
    }
  }
}
