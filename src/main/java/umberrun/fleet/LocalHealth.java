package umberrun.fleet;

/**
 * The local health multiplier of Lifeguard (section IV-A): a score from 0 (healthy) to 8. The
 * higher it is, the longer this member waits before it accuses another.
 */
final class LocalHealth {
  private static final int MAX_SCORE = 8;

  private int score;

  void degrade(int by) {
    score = Math.min(MAX_SCORE, score + by);
  }

  void improve() {
    score = Math.max(0, score - 1);
  }

  int score() {
    return score;
  }

  /** Scales a duration by the score. */
  long scale(long duration) {
    return duration * (score + 1);
  }
}
