package saddlestall;

/** An exponential running mean that starts as a plain mean. */
final class RunningMean {
  private static final int MAX_COUNT = 1 << 20;

  double value;
  int count;

  RunningMean(double start) {
    value = start;
  }

  /** Adds a sample with step 1 / (count + 1), or {@code minStep} if that is larger. */
  void add(double sample, double minStep) {
    count = Math.min(count + 1, MAX_COUNT);
    value += Math.max(minStep, 1.0 / (count + 1)) * (sample - value);
  }
}
