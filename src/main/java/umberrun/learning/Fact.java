package umberrun.learning;

import java.util.Comparator;

/**
 * An observation that some front end made itself.
 *
 * @param subject what was observed
 * @param value the observed value; its meaning depends on the kind of the subject
 * @param origin identifier of the front end that made the observation, with its incarnation
 * @param seenAt time of the observation in Unix microseconds on the clock of this process; it may
 *     be earlier than the real time but never later
 */
public record Fact(Subject subject, Value value, String origin, long seenAt) {
  /** Kinds of facts; each has its own half-life. */
  public enum Kind {
    /** A copy of a function was loaded at a worker. */
    COPY,
    /** The health of a worker. */
    WORKER,
    /** What a function needs and how often it is called. */
    FUNCTION
  }

  /**
   * What a fact is about: a copy of a function at a worker, a worker, or a function.
   *
   * @param worker name of the worker, empty for a function
   * @param function identifier of the function, 0 for a worker
   */
  public record Subject(Kind kind, String worker, long function) {}

  /**
   * Up to four numbers. A copy has none, as the fact itself says that the copy was loaded. A worker
   * has its latency ratio and failure rate. A function has its class, lanes, load time in
   * microseconds and number of recent calls. Unused numbers are 0.
   */
  public record Value(double a, double b, double c, double d) implements Comparable<Value> {
    private static final Comparator<Value> ORDER =
        Comparator.comparingDouble(Value::a)
            .thenComparingDouble(Value::b)
            .thenComparingDouble(Value::c)
            .thenComparingDouble(Value::d);

    /** The value of a copy. */
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
   * A later fact replaces an earlier one. For facts of the same time any order will do, as long as
   * it is the same at all front ends.
   */
  private static final Comparator<Fact> ORDER =
      Comparator.comparingLong(Fact::seenAt).thenComparing(Fact::origin).thenComparing(Fact::value);

  /**
   * Returns the later of two facts. It is the greater one in a total order, which makes merging
   * commutative, associative and idempotent.
   */
  static Fact later(Fact x, Fact y) {
    return ORDER.compare(x, y) >= 0 ? x : y;
  }
}
