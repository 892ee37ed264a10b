package umberrun.consensus;

import java.util.List;

/** A message between proposers and voters, or between front ends about who votes. */
public sealed interface ConsensusMessage {
  /** Number that the requester gave to the attempt; responses carry the number of their request. */
  long op();

  /**
   * Asks a voter for its last accepted value. Changes no state, so it does not interfere with a
   * change in progress.
   */
  record Read(long op, String register) implements ConsensusMessage {}

  /** Response to {@link Read}: the last accepted ballot and value. */
  record ReadResult(long op, Ballot accepted, RegisterValue value) implements ConsensusMessage {}

  /** Phase 1 request: asks a voter to promise not to accept any ballot below this one. */
  record Prepare(long op, String register, Ballot ballot) implements ConsensusMessage {}

  /** Phase 1 response: the promise, with the last accepted ballot and value. */
  record Promised(long op, Ballot accepted, RegisterValue value) implements ConsensusMessage {}

  /** Phase 2 request: asks a voter to accept a value under a ballot. */
  record Accept(long op, String register, Ballot ballot, RegisterValue value)
      implements ConsensusMessage {}

  /** Phase 2 response: the voter has accepted the value. */
  record Accepted(long op) implements ConsensusMessage {}

  /** Rejection of {@link Prepare} or {@link Accept}: the voter has already promised this ballot. */
  record Refused(long op, Ballot promised) implements ConsensusMessage {}

  /** Announces the current voter set to a voter. */
  record Install(long op, VoterSet voters) implements ConsensusMessage {}

  /**
   * Response to {@link Install}: from now on the voter answers requests of that set or a later one
   * only.
   */
  record Installed(long op) implements ConsensusMessage {}

  /**
   * Rejection of a request whose voter set has been replaced.
   *
   * @param voters the newest set that the voter knows, which may itself have been replaced already
   */
  record Outdated(long op, VoterSet voters) implements ConsensusMessage {}

  /**
   * Rejection of a request whose voter set this voter does not know yet; the requester answers it
   * with {@link Install}.
   */
  record UnknownEpoch(long op) implements ConsensusMessage {}

  /** Asks a voter for the names of its registers. */
  record ListRegisters(long op) implements ConsensusMessage {}

  /** Response to {@link ListRegisters}. */
  record RegisterNames(long op, List<String> names) implements ConsensusMessage {}

  /**
   * Asks a front end whether and under which key it votes.
   *
   * @param createStore whether it is to create a new store, unless it must keep the one it has
   * @param asOf the newest set that the requester knows
   * @param names of the front ends of the first set, sorted, in the query of a bootstrap; the front
   *     end rejects the query if its own configuration names others. Empty in any other query.
   */
  record VoterQuery(long op, boolean createStore, VoterSet asOf, List<String> names)
      implements ConsensusMessage {}

  /**
   * Response to {@link VoterQuery}.
   *
   * @param key of its voter, empty if it has no usable store
   * @param known the newest set that it knows
   * @param fault why it cannot become a voter as asked, empty if there is no such reason
   */
  record VoterDescription(long op, String key, VoterSet known, String fault)
      implements ConsensusMessage {}
}
