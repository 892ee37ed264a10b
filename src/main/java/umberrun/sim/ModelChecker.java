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
 * Explores all executions of a small model, visiting each state once, and checks each state. States
 * are compared by a 64-bit hash of their text: among ten million states, two share a hash with a
 * probability of one in 400,000.
 */
public final class ModelChecker {
  /** A small model in which every step is a numbered choice. */
  public interface Model {
    /** An independent copy. */
    Model copy();

    /** An upper bound on the number of steps possible now, at most 127. */
    int choiceCount();

    /** Takes a step. Returns false, without changing anything, if the step is not possible. */
    boolean takeStep(int choice);

    /** Describes what is wrong in this state, or null. */
    String violation();

    /** Text of all state that determines the possible executions from here. */
    String stateText();
  }

  /** Number of paths to find before they are explored in parallel. */
  private static final int MIN_ROOTS = 256;

  /** A model and the choices that led to it. */
  private record Path(Model model, byte[] steps) {}

  private final Model initial;
  private final int maxStates;
  private final Set<Long> visited = ConcurrentHashMap.newKeySet();
  private final AtomicInteger stateCount = new AtomicInteger();
  private final AtomicReference<String> violation = new AtomicReference<>();

  /**
   * @param maxStates number of states after which the check stops
   */
  public ModelChecker(Model initial, int maxStates) {
    this.initial = initial;
    this.maxStates = maxStates;
  }

  /** Number of distinct states visited. */
  public int states() {
    return stateCount.get();
  }

  /** Whether all states were visited, without a violation and without reaching the limit. */
  public boolean isExhaustive() {
    return violation.get() == null && stateCount.get() < maxStates;
  }

  /**
   * Runs the check. Returns a violation and the steps that lead to it, or null if none was found.
   */
  public String check() {
    Deque<Path> pending = new ArrayDeque<>();
    pending.add(new Path(initial, new byte[0]));
    while (!pending.isEmpty() && pending.size() < MIN_ROOTS && !isFinished()) {
      pending.addAll(expand(pending.poll()));
    }
    new ArrayList<>(pending)
        .parallelStream()
            .forEach(
                root -> {
                  Deque<Path> stack = new ArrayDeque<>(List.of(root));
                  while (!stack.isEmpty() && !isFinished()) {
                    // Depth first, as violations tend to show late.
                    stack.addAll(expand(stack.pollLast()));
                  }
                });
    return violation.get();
  }

  private boolean isFinished() {
    return stateCount.get() >= maxStates || violation.get() != null;
  }

  /** The paths that are one step longer and lead to states not visited before. */
  private List<Path> expand(Path path) {
    List<Path> successors = new ArrayList<>();
    Model model = path.model.copy();
    for (int choice = model.choiceCount() - 1; choice >= 0; choice--) {
      if (!model.takeStep(choice)) {
        continue; // the model is unchanged, so it serves for the next choice
      }
      if (visited.add(hash(model.stateText()))) {
        stateCount.incrementAndGet();
        byte[] steps = Arrays.copyOf(path.steps, path.steps.length + 1);
        steps[path.steps.length] = (byte) choice;
        String found = model.violation();
        if (found != null) {
          violation.compareAndSet(null, found + " by steps " + Arrays.toString(steps));
        }
        successors.add(new Path(model, steps));
      }
      model = path.model.copy();
    }
    // Unshuffled, the last choices after a few first steps would use up all allowed states.
    Collections.shuffle(successors, new Random(Arrays.hashCode(path.steps)));
    return successors;
  }

  private static long hash(String text) {
    long hash = 0xcbf29ce484222325L;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
    }
    return hash ^ hash >>> 29;
  }
}
