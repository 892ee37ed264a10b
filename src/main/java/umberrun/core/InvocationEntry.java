package umberrun.core;

/**
 * An entry of the {@link InvocationJournal}. Times are microseconds of the machine's monotonic
 * clock, as the system time may be stepped between the processes that write and read an entry.
 */
public sealed interface InvocationEntry {
  /** The id of the invocation. */
  String id();

  /**
   * An invocation was accepted; nothing was sent for it yet.
   *
   * @param scopedKey the idempotency key with its owner, or null
   * @param fingerprint what repeats under the key are compared with, or null without a key
   * @param collectable whether a client was given a location to collect the result at
   * @param deadline when its client gives up
   * @param process the process that runs it
   */
  record Accepted(
      String id,
      String scopedKey,
      CallFingerprint fingerprint,
      boolean collectable,
      long deadline,
      String process)
      implements InvocationEntry {}

  /**
   * A repeat under the key joined it.
   *
   * @param collectable whether the repeat was given a location to collect the result at
   */
  record Joined(String id, boolean collectable) implements InvocationEntry {}

  /** It has ended. The first such entry of an invocation counts. */
  record Ended(String id, long endedAt, Result result) implements InvocationEntry {}

  /** Its client has deleted the result. */
  record Deleted(String id) implements InvocationEntry {}
}
