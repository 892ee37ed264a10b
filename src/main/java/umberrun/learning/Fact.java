package umberrun.learning;

import java.util.Comparator;

/**
 * One thing that some instance saw for itself.
 *
 * @param subject what it is about
 * @param value what was seen; its meaning is the subject's kind's
 * @param origin who saw it, with its incarnation
 * @param seenAt when, on this machine's steady clock, in microseconds; never younger than it was
 */
public record Fact(Subject subject, Value value, String origin, long seenAt) {
  /** Kinds of facts; each ages at its own pace. */
  public enum Kind {
    COPY,
    WORKER,
    FUNCTION
  }

  /** A copy of a function at a worker, a worker (no function), or a function (no worker). */
  public record Subject(Kind kind, String worker, long function) {}

  /**
   * Up to four figures: of a copy, nothing but that it stood loaded; of a worker, its pace and its
   * share of bad outcomes; of a function, its class, lanes, load time and calls of late.
   */
  public record Value(double a, double b, double c, double d) implements Comparable<Value> {
    private static final Comparator<Value> ORDER =
        Comparator.comparingDouble(Value::a)
            .thenComparingDouble(Value::b)
            .thenComparingDouble(Value::c)
            .thenComparingDouble(Value::d);

    public static final Value NONE = new Value(0, 0, 0, 0);

    @Override
    public int compareTo(Value other) {
      return ORDER.compare(this, other);
    }

    boolean isFinite() {
      return Double.isFinite(a) && Double.isFinite(b) && Double.isFinite(c) && Double.isFinite(d);
    }
  }

  /**
   * The later one is right; between two of one moment any order will do, if all instances have the
   * same.
   */
  private static final Comparator<Fact> ORDER =
      Comparator.comparingLong(Fact::seenAt).thenComparing(Fact::origin).thenComparing(Fact::value);

  /** The greater in a total order, so that merging is commutative, associative and idempotent. */
  static Fact later(Fact x, Fact y) {
    return ORDER.compare(x, y) >= 0 ? x : y;
  }
}
