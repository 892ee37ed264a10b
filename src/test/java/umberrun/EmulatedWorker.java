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
 * Has a stand-in worker serve as the settings say: lanes, a queue, copies of functions that take
 * time to load and push each other out, and a start with none. Figures are of no machine in
 * particular.
 */
final class EmulatedWorker {
  static final long LOAD_MILLIS = 250;
  private static final double RUN_MILLIS = 16;
  private static final int LANES = 2;
  private static final int QUEUE = 24;
  private static final int COPIES = 10;
  private static final ScheduledExecutorService LATER =
      Executors.newScheduledThreadPool(
          2,
          r -> {
            Thread t = new Thread(r, "emulated");
            t.setDaemon(true);
            return t;
          });

  /** A call that came, and how its copy stood. */
  private record Waiting(Command command, String note) {}

  private final Random random;

  /** Functions that stand loaded, the one used last at the end. */
  private final Map<String, Boolean> copies = new LinkedHashMap<>(16, 0.75f, true);

  private final Map<String, Deque<Waiting>> loading = new LinkedHashMap<>();
  private final Deque<Waiting> queue = new ArrayDeque<>();
  private int running;
  private double failing;
  private int loads;
  private int runs;

  EmulatedWorker(Scenario.Worker worker, long seed) {
    random = new Random(seed);
    worker.serves = this::take;
  }

  /** Loses what it had loaded, as a machine that was worked on. */
  synchronized void restart() {
    copies.clear();
  }

  /** Fails so many calls from now on. */
  synchronized void fail(double share) {
    failing = share;
  }

  synchronized int loads() {
    return loads;
  }

  /** Calls and orders that came. */
  synchronized int runs() {
    return runs;
  }

  private synchronized void take(Command c) {
    switch (c.words().get(0)) {
      case "RUN" -> {
        runs++;
        String function = field(c, "asset");
        if (copies.containsKey(function)) {
          copies.get(function);
          enter(new Waiting(c, "w"));
        } else {
          boolean first = !loading.containsKey(function);
          load(function).add(new Waiting(c, first ? "c" : "j"));
        }
      }
      case "HOLD" -> {
        runs++;
        String function = field(c, "asset");
        if (copies.containsKey(function)) {
          say(c, "200", "pods=1", "");
        } else {
          load(function).add(new Waiting(c, "h"));
        }
      }
      case "INFO" -> say(c, "alive", "l=util:" + (double) running / LANES, "");
      case "NOOP" -> say(c, "alive", "-", "");
      default -> {}
    }
  }

  private static String field(Command c, String name) {
    return List.of(c.words().get(2).split(",")).stream()
        .filter(f -> f.startsWith(name + "="))
        .findFirst()
        .orElse("=")
        .split("=", 2)[1];
  }

  private Deque<Waiting> load(String function) {
    return loading.computeIfAbsent(
        function,
        f -> {
          loads++;
          LATER.schedule(() -> loaded(f), LOAD_MILLIS, TimeUnit.MILLISECONDS);
          return new ArrayDeque<>();
        });
  }

  private synchronized void loaded(String function) {
    copies.put(function, true);
    if (copies.size() > COPIES) {
      copies.remove(copies.keySet().iterator().next());
    }
    loading
        .remove(function)
        .forEach(
            w -> {
              if (w.note.equals("h")) {
                say(w.command, "200", "pods=1", "");
              } else {
                enter(w);
              }
            });
  }

  private void enter(Waiting w) {
    if (queue.size() >= QUEUE) {
      say(w.command, "503", "-", "");
      return;
    }
    queue.add(w);
    next();
  }

  private void next() {
    while (running < LANES && !queue.isEmpty()) {
      Waiting w = queue.poll();
      running++;
      LATER.schedule(
          () -> end(w),
          (long) (-Math.log(1 - random.nextDouble()) * RUN_MILLIS * 1_000),
          TimeUnit.MICROSECONDS);
    }
  }

  private synchronized void end(Waiting w) {
    running--;
    boolean fails = random.nextDouble() < failing;
    say(w.command, fails ? "500" : "200", "n=" + w.note, fails ? "" : w.command.words().get(3));
    next();
  }

  private static void say(Command c, String word, String fields, String body) {
    try {
      Scenario.Worker.answer(c, word, fields, body);
    } catch (IOException e) {
      return; // whoever asked is gone
    }
  }
}
