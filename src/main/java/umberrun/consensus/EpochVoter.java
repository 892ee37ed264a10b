package umberrun.consensus;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import umberrun.consensus.ConsensusMessage.Install;
import umberrun.consensus.ConsensusMessage.Installed;
import umberrun.consensus.ConsensusMessage.ListRegisters;
import umberrun.consensus.ConsensusMessage.Outdated;
import umberrun.consensus.ConsensusMessage.RegisterNames;
import umberrun.consensus.ConsensusMessage.UnknownEpoch;
import umberrun.consensus.Voter.Slot;
import umberrun.consensus.Voter.VoteResult;

/**
 * Checks the epoch of each request before a {@link Voter} handles it: answers requests of the
 * installed voter set, rejects older ones with the newer set, and responds to newer ones that their
 * set must be installed first. It performs no I/O.
 */
public class EpochVoter {
  /** Slot that stores the installed voter set; no register can have the empty name. */
  static final String VOTER_SET_SLOT = "";

  private final Voter voter;
  private VoterSet voters;

  /**
   * @param stored the slots on disk
   * @param maxRegisters limit on the number of registers
   */
  public EpochVoter(Map<String, Slot> stored, int maxRegisters) {
    Map<String, Slot> registers = new TreeMap<>(stored);
    Slot voterSetSlot = registers.remove(VOTER_SET_SLOT);
    this.voter = new Voter(registers, maxRegisters);
    this.voters =
        voterSetSlot == null ? VoterSet.UNKNOWN : VoterSet.parse(voterSetSlot.value().text());
  }

  /** The change that a voter of the first set has on disk at the start. */
  public static VoteResult initialSlot(VoterSet firstSet) {
    return new VoteResult(null, VOTER_SET_SLOT, slot(firstSet));
  }

  private static Slot slot(VoterSet set) {
    return new Slot(Ballot.NONE, Ballot.NONE, new RegisterValue(set.epoch(), set.text()));
  }

  /** The installed voter set, {@link VoterSet#UNKNOWN} if there is none. */
  public VoterSet voters() {
    return voters;
  }

  /** The state of all registers, by name. */
  public Map<String, Slot> slots() {
    return voter.slots();
  }

  /**
   * Whether the promises in this store must not be lost, so that this front end may not be given a
   * new store. That holds if the requester's set contains the key, or if that set is older than the
   * installed one. (A store without an installed set is reused instead of replaced: a set that
   * contains its key may already have been written.)
   *
   * @param key of this voter
   * @param asOf the newest set that the requester knows
   */
  public boolean mustKeepStore(String key, VoterSet asOf) {
    return asOf.keys().contains(key) || asOf.epoch() < voters.epoch();
  }

  /**
   * Handles a request that was made under an epoch. As with {@link Voter#handle}, the change in the
   * result must be synced before the response is sent; null means no response.
   */
  public VoteResult handle(long epoch, ConsensusMessage request) {
    if (request instanceof Install install) {
      if (install.voters().epoch() < voters.epoch()
          || install.voters().epoch() == voters.epoch() && !install.voters().equals(voters)) {
        return outdated(request);
      }
      boolean isNewer = install.voters().epoch() > voters.epoch();
      voters = isNewer ? install.voters() : voters;
      return new VoteResult(
          new Installed(request.op()), VOTER_SET_SLOT, isNewer ? slot(voters) : null);
    }
    if (isOutdated(epoch)) {
      return outdated(request);
    }
    if (epoch != voters.epoch() || epoch == 0) {
      return new VoteResult(new UnknownEpoch(request.op()), VOTER_SET_SLOT, null);
    }
    if (request instanceof ListRegisters) {
      return new VoteResult(
          new RegisterNames(request.op(), List.copyOf(voter.slots().keySet())),
          VOTER_SET_SLOT,
          null);
    }
    return voter.handle(request);
  }

  /**
   * Whether a request belongs to a replaced set. Answering it could complete a majority that does
   * not overlap those of the current set.
   */
  protected boolean isOutdated(long epoch) {
    return epoch < voters.epoch();
  }

  private VoteResult outdated(ConsensusMessage request) {
    return new VoteResult(new Outdated(request.op(), voters), VOTER_SET_SLOT, null);
  }
}
