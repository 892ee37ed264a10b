package saddlestall;

import java.util.Arrays;
import java.util.function.IntToDoubleFunction;
import java.util.stream.IntStream;

/** Arithmetic without a decision in it. */
final class Maths {
  private Maths() {}

  /** {@code x} within the bounds; the lower one for a value that is not a number. */
  static double clamp(double x, double low, double high) {
    return x > low ? Math.min(x, high) : low;
  }

  /** The product over the length of {@code b}. */
  static double dot(double[] a, double[] b) {
    double sum = 0;
    for (int k = 0; k < b.length; k++) {
      sum += a[k] * b[k];
    }
    return sum;
  }

  /**
   * Turns the first {@code n} scores into chances not yet divided by their sum, which it returns.
   */
  static double softmax(double[] x, int n) {
    double top = Double.NEGATIVE_INFINITY;
    for (int i = 0; i < n; i++) {
      top = Math.max(top, x[i]);
    }
    double sum = 0;
    for (int i = 0; i < n; i++) {
      x[i] = StrictMath.exp(x[i] - top);
      sum += x[i];
    }
    return sum;
  }

  /** The row that was drawn less the one to be expected by the chances, whose sum is given. */
  static double[] surprise(double[][] rows, double[] chance, int n, int pick, double sum) {
    double[] row = rows[pick].clone();
    for (int i = 0; i < n; i++) {
      for (int k = 0; k < row.length; k++) {
        row[k] -= chance[i] / sum * rows[i][k];
      }
    }
    return row;
  }

  /** The mean of the first {@code n} rows. */
  static double[] mean(double[][] rows, int n) {
    double[] mean = new double[rows[0].length];
    for (int i = 0; i < n; i++) {
      for (int k = 0; k < mean.length; k++) {
        mean[k] += rows[i][k] / n;
      }
    }
    return mean;
  }

  /** The place of each of {@code n} things in the ascending order of their keys. */
  static int[] rank(int n, IntToDoubleFunction key) {
    double[] keys = IntStream.range(0, n).mapToDouble(key).toArray();
    double[] sorted = keys.clone();
    Arrays.sort(sorted);
    return IntStream.range(0, n).map(i -> Arrays.binarySearch(sorted, keys[i])).toArray();
  }

  /** One number for an attempt of a call. */
  static long key(int call, int attempt) {
    return (call & 0xffffffffL) << 8 | attempt & 255;
  }

  /** A hash as a number in (0, 1). */
  static double fraction(long hash) {
    return ((hash >>> 11) + 0.5) / (1L << 53);
  }

  /** A hash of a function and a worker, the same at every front end. */
  static long mix(long function, int worker) {
    long z = function * 0x9E3779B97F4A7C15L ^ worker * 0xC2B2AE3D27D4EB4FL;
    z = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
    z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
    return z ^ z >>> 31;
  }

  /** Multiplies each value. */
  static void scale(double[] values, double by) {
    for (int i = 0; i < values.length; i++) {
      values[i] *= by;
    }
  }
}
