package umberrun.consensus;

import java.util.List;

/** Between those who propose and those who vote. {@code op} names the try that it belongs to. */
public sealed interface ConsensusMessage {
  long op();

  /** Asks a voter what it has accepted last, and nothing of it: a look disturbs nobody's change. */
  record Read(long op, String register) implements ConsensusMessage {}

  /** What the voter has accepted last. */
  record ReadResult(long op, Ballot accepted, RegisterValue value) implements ConsensusMessage {}

  /** Asks a voter not to accept anything older. */
  record Prepare(long op, String register, Ballot ballot) implements ConsensusMessage {}

  /** It will not, and what it has accepted last. */
  record Promised(long op, Ballot accepted, RegisterValue value) implements ConsensusMessage {}

  /** Asks a voter to accept. */
  record Accept(long op, String register, Ballot ballot, RegisterValue value)
      implements ConsensusMessage {}

  /** It has accepted. */
  record Accepted(long op) implements ConsensusMessage {}

  /** It has promised more to another. */
  record Refused(long op, Ballot promised) implements ConsensusMessage {}

  /** Tells a voter who votes from now on. */
  record Install(long op, VoterSet voters) implements ConsensusMessage {}

  /** It answers that set only, or a later one. */
  record Installed(long op) implements ConsensusMessage {}

  /** The question was of a set that has been replaced: by this one, or by one before it. */
  record Outdated(long op, VoterSet voters) implements ConsensusMessage {}

  /** The question was of a set that this voter has not been told of: whoever asks it, tells it. */
  record UnknownEpoch(long op) implements ConsensusMessage {}

  /** Asks a voter which registers it has. */
  record ListRegisters(long op) implements ConsensusMessage {}

  /** The registers that it has. */
  record RegisterNames(long op, List<String> names) implements ConsensusMessage {}

  /**
   * Asks a front end for its place among the voters.
   *
   * @param make whether it is to make a folder, where it holds on to none
   * @param asOf the newest set that whoever asks knows
   * @param names of the first set, in order, where there is no set yet; its own file must have the
   *     same
   */
  record VoterQuery(long op, boolean make, VoterSet asOf, List<String> names)
      implements ConsensusMessage {}

  /**
   * What it has.
   *
   * @param key empty where it has no folder that it can vote on
   * @param known the newest set that it knows
   * @param fault why it has no folder, or would not make one
   */
  record VoterDescription(long op, String key, VoterSet known, String fault)
      implements ConsensusMessage {}
}
