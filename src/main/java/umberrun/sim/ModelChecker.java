package umberrun.sim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Goes through all courses that a small world may take, each state once, and checks each. States
 * are told apart by 64 bits of their text, so that among ten million two share one with a chance of
 * one in 400,000.
 */
public final class ModelChecker {
  /** A small world, of which every step is a choice. */
  public interface Model {
    /** The same, to go on by itself. */
    Model copy();

    /** How many steps may be possible now, 127 at the most. */
    int choiceCount();

    /** Takes a step; false, and nothing is changed, where it is not possible after all. */
    boolean takeStep(int choice);

    /** What is wrong, or null. */
    String violation();

    /** All that decides what may follow. */
    String stateText();
  }

  /** Courses to begin with, from which the cores go on each by itself. */
  private static final int ROOTS = 256;

  /** A world and the steps that led to it. */
  private record Course(Model world, byte[] steps) {}

  private final Model begin;
  private final int most;
  private final Set<Long> met = ConcurrentHashMap.newKeySet();
  private final AtomicInteger states = new AtomicInteger();
  private final AtomicReference<String> wrong = new AtomicReference<>();

  /**
   * @param most states, after which it gives up
   */
  public ModelChecker(Model begin, int most) {
    this.begin = begin;
    this.most = most;
  }

  /** States met. */
  public int states() {
    return states.get();
  }

  /** Whether all states were met, and not only as many as were allowed. */
  public boolean isExhaustive() {
    return wrong.get() == null && states.get() < most;
  }

  /** What is wrong in some state and the steps that lead there, or null. */
  public String check() {
    Deque<Course> open = new ArrayDeque<>();
    open.add(new Course(begin, new byte[0]));
    while (!open.isEmpty() && open.size() < ROOTS && !isOver()) {
      open.addAll(expand(open.poll()));
    }
    new ArrayList<>(open)
        .parallelStream()
            .forEach(
                root -> {
                  Deque<Course> own = new ArrayDeque<>(List.of(root));
                  while (!own.isEmpty() && !isOver()) {
                    own.addAll(
                        expand(own.pollLast())); // the deepest first: what goes wrong does so late
                  }
                });
    return wrong.get();
  }

  private boolean isOver() {
    return states.get() >= most || wrong.get() != null;
  }

  /** The courses one step longer that lead to states not met before. */
  private List<Course> expand(Course c) {
    List<Course> further = new ArrayList<>();
    Model w = c.world.copy();
    for (int choice = w.choiceCount() - 1; choice >= 0; choice--) {
      if (!w.takeStep(choice)) {
        continue; // nothing has changed: the next choice is tried on the same
      }
      if (met.add(hash(w.stateText()))) {
        states.incrementAndGet();
        byte[] steps = Arrays.copyOf(c.steps, c.steps.length + 1);
        steps[c.steps.length] = (byte) choice;
        String fault = w.violation();
        if (fault != null) {
          wrong.compareAndSet(null, fault + " by steps " + Arrays.toString(steps));
        }
        further.add(new Course(w, steps));
      }
      w = c.world.copy();
    }
    Collections.shuffle(
        further,
        new Random(
            Arrays.hashCode(
                c.steps))); // else the last choices of a few first ones take up all the states
    return further;
  }

  private static long hash(String s) {
    long h = 0xcbf29ce484222325L;
    for (int i = 0; i < s.length(); i++) {
      h = (h ^ s.charAt(i)) * 0x100000001b3L;
    }
    return h ^ h >>> 29;
  }
}
