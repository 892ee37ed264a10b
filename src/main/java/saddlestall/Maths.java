package saddlestall;

import java.util.Arrays;
import java.util.function.IntToDoubleFunction;
import java.util.stream.IntStream;

/** Pure functions for arithmetic, sampling and hashing. */
final class Maths {
  private Maths() {}

  /** Returns {@code x} limited to the bounds, and the lower bound for NaN. */
  static double clamp(double x, double low, double high) {
    return x > low ? Math.min(x, high) : low;
  }

  /** Returns the dot product over the length of {@code b}; {@code a} may be longer. */
  static double dot(double[] a, double[] b) {
    double sum = 0;
    for (int k = 0; k < b.length; k++) {
      sum += a[k] * b[k];
    }
    return sum;
  }

  /**
   * Replaces the first {@code n} scores by their unnormalized softmax probabilities.
   *
   * @return the sum to divide them by
   */
  static double softmax(double[] scores, int n) {
    double top = Double.NEGATIVE_INFINITY;
    for (int i = 0; i < n; i++) {
      top = Math.max(top, scores[i]);
    }
    double sum = 0;
    for (int i = 0; i < n; i++) {
      scores[i] = StrictMath.exp(scores[i] - top);
      sum += scores[i];
    }
    return sum;
  }

  /**
   * Returns the gradient of the log probability of the sampled row with respect to the weights: its
   * features minus the expected ones.
   *
   * @param scores unnormalized probabilities of the first {@code n} rows
   * @param sum sum of these probabilities
   */
  static double[] logProbabilityGradient(
      double[][] rows, double[] scores, int n, int chosen, double sum) {
    double[] row = rows[chosen].clone();
    for (int i = 0; i < n; i++) {
      for (int k = 0; k < row.length; k++) {
        row[k] -= scores[i] / sum * rows[i][k];
      }
    }
    return row;
  }

  /** Returns the mean of the first {@code n} rows. */
  static double[] meanRow(double[][] rows, int n) {
    double[] mean = new double[rows[0].length];
    for (int i = 0; i < n; i++) {
      for (int k = 0; k < mean.length; k++) {
        mean[k] += rows[i][k] / n;
      }
    }
    return mean;
  }

  /** Returns the position of each of {@code n} items in the ascending order of their keys. */
  static int[] ranks(int n, IntToDoubleFunction key) {
    double[] keys = IntStream.range(0, n).mapToDouble(key).toArray();
    double[] sorted = keys.clone();
    Arrays.sort(sorted);
    return IntStream.range(0, n).map(i -> Arrays.binarySearch(sorted, keys[i])).toArray();
  }

  /** Combines a call id and an attempt number, which may be up to 255, into one key. */
  static long attemptKey(int call, int attempt) {
    return (call & 0xffffffffL) << 8 | attempt & 255;
  }

  /** Maps a hash to a number in (0, 1). */
  static double toUnitInterval(long hash) {
    return ((hash >>> 11) + 0.5) / (1L << 53);
  }

  /** Returns a hash of a function and a worker, the same at every front end. */
  static long hash(long function, int worker) {
    long bits = function * 0x9E3779B97F4A7C15L ^ worker * 0xC2B2AE3D27D4EB4FL;
    bits = (bits ^ bits >>> 30) * 0xBF58476D1CE4E5B9L;
    bits = (bits ^ bits >>> 27) * 0x94D049BB133111EBL;
    return bits ^ bits >>> 31;
  }

  /** Multiplies each value by a factor, in place. */
  static void scale(double[] values, double factor) {
    for (int i = 0; i < values.length; i++) {
      values[i] *= factor;
    }
  }
}
