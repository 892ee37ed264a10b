package umberrun.core;

/** The claims of a process that shares no folder with others. */
final class LocalRequestClaims implements RequestClaims {
  private static final long SELF = 0;

  private final Clock clock;
  private final ClaimTable table = new ClaimTable();
  private long periodEndsAt;

  LocalRequestClaims(Clock clock) {
    this.clock = clock;
    this.periodEndsAt = clock.now() + KEPT_MICROS;
  }

  @Override
  public Outcome claim(long requestId) {
    long now = clock.now();
    if (now >= periodEndsAt) {
      table.beginPeriod();
      periodEndsAt = now + KEPT_MICROS;
    }
    if (table.contains(requestId)) {
      return Outcome.TAKEN;
    }
    if (!table.hasRoom()) {
      return Outcome.UNAVAILABLE;
    }
    table.add(requestId, SELF);
    return Outcome.GRANTED;
  }

  @Override
  public void release(long requestId) {
    table.remove(requestId, SELF);
  }
}
