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
 * A voter's place in the sets that follow each other: answers what is asked in the epoch that it
 * has taken, says the newer set to what is older, and wants to be told of the set first by what is
 * newer. Free of I/O, as the voter is.
 */
public class EpochVoter {
  /** Where a folder keeps the set that was taken last; no register can have this name. */
  static final String SLOT = "";

  private final Voter voter;
  private VoterSet voters;

  /**
   * @param synced what was on disk
   * @param most registers
   */
  public EpochVoter(Map<String, Slot> synced, int most) {
    Map<String, Slot> registers = new TreeMap<>(synced);
    Slot own = registers.remove(SLOT);
    this.voter = new Voter(registers, most);
    this.voters = own == null ? VoterSet.UNKNOWN : VoterSet.parse(own.value().text());
  }

  /** What is on the disk of a voter that begins with a set. */
  public static VoteResult initialSlot(VoterSet first) {
    return new VoteResult(null, SLOT, slot(first));
  }

  private static Slot slot(VoterSet v) {
    return new Slot(Ballot.NONE, Ballot.NONE, new RegisterValue(v.epoch(), v.text()));
  }

  /** The set that it has taken. */
  public VoterSet voters() {
    return voters;
  }

  public Map<String, Slot> slots() {
    return voter.slots();
  }

  /**
   * Whether what was promised here must not be forgotten, so that the name can't get another
   * folder: it votes by the set that whoever asks for it knows, or that set is older than the one
   * taken here. (A folder that was never told of a set is kept and used: the set that names it may
   * be written already.)
   */
  public boolean mustKeepStore(String key, VoterSet asOf) {
    return asOf.keys().contains(key) || asOf.epoch() < voters.epoch();
  }

  /**
   * Answers a question of an epoch; as with {@link Voter#handle}, what the step holds is synced
   * before the answer leaves.
   */
  public VoteResult handle(long epoch, ConsensusMessage m) {
    if (m instanceof Install i) {
      if (i.voters().epoch() < voters.epoch()
          || i.voters().epoch() == voters.epoch() && !i.voters().equals(voters)) {
        return outdated(m);
      }
      boolean news = i.voters().epoch() > voters.epoch();
      voters = news ? i.voters() : voters;
      return new VoteResult(new Installed(m.op()), SLOT, news ? slot(voters) : null);
    }
    if (isOutdated(epoch)) {
      return outdated(m);
    }
    if (epoch != voters.epoch() || epoch == 0) {
      return new VoteResult(new UnknownEpoch(m.op()), SLOT, null);
    }
    if (m instanceof ListRegisters) {
      return new VoteResult(
          new RegisterNames(m.op(), List.copyOf(voter.slots().keySet())), SLOT, null);
    }
    return voter.handle(m);
  }

  /**
   * Whether a question comes from a set that was replaced; guards against majorities of sets that
   * do not meet.
   */
  protected boolean isOutdated(long epoch) {
    return epoch < voters.epoch();
  }

  private VoteResult outdated(ConsensusMessage m) {
    return new VoteResult(new Outdated(m.op(), voters), SLOT, null);
  }
}
