package umberrun.agreement;

import java.util.List;

/** Between those who propose and those who vote. {@code op} names the try that it belongs to. */
public sealed interface Message {
  long op();

  /** Asks a voter what it has accepted last, and nothing of it: a look disturbs nobody's change. */
  record Look(long op, String register) implements Message {}

  /** What the voter has accepted last. */
  record Looked(long op, Ballot accepted, Value value) implements Message {}

  /** Asks a voter not to accept anything older. */
  record Prepare(long op, String register, Ballot ballot) implements Message {}

  /** It will not, and what it has accepted last. */
  record Promised(long op, Ballot accepted, Value value) implements Message {}

  /** Asks a voter to accept. */
  record Accept(long op, String register, Ballot ballot, Value value) implements Message {}

  /** It has accepted. */
  record Accepted(long op) implements Message {}

  /** It has promised more to another. */
  record Refused(long op, Ballot promised) implements Message {}

  /** Tells a voter who votes from now on. */
  record Install(long op, Voters voters) implements Message {}

  /** It answers that set only, or a later one. */
  record Installed(long op) implements Message {}

  /** The question was of a set that has been replaced: by this one, or by one before it. */
  record Outdated(long op, Voters voters) implements Message {}

  /** The question was of a set that this voter has not been told of: whoever asks it, tells it. */
  record Behind(long op) implements Message {}

  /** Asks a voter which registers it has. */
  record ListNames(long op) implements Message {}

  /** The registers that it has. */
  record Names(long op, List<String> names) implements Message {}

  /**
   * Asks a front end for its place among the voters.
   *
   * @param make whether it is to make a folder, where it holds on to none
   * @param asOf the newest set that whoever asks knows
   * @param names of the first set, in order, where there is no set yet; its own file must have the
   *     same
   */
  record AskSeat(long op, boolean make, Voters asOf, List<String> names) implements Message {}

  /**
   * What it has.
   *
   * @param key empty where it has no folder that it can vote on
   * @param known the newest set that it knows
   * @param fault why it has no folder, or would not make one
   */
  record SeatIs(long op, String key, Voters known, String fault) implements Message {}
}
