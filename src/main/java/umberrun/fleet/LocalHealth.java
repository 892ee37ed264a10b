package umberrun.fleet;

/**
 * How far this member doubts itself, from 0 (well) to 8: it then waits longer before it accuses
 * (Lifeguard, section IV-A).
 */
final class LocalHealth {
  private static final int MOST = 8;

  private int score;

  void worse(int by) {
    score = Math.min(MOST, score + by);
  }

  void better() {
    score = Math.max(0, score - 1);
  }

  int score() {
    return score;
  }

  long stretch(long time) {
    return time * (score + 1);
  }
}
