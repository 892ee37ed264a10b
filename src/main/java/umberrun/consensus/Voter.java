package umberrun.consensus;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import umberrun.consensus.ConsensusMessage.Accept;
import umberrun.consensus.ConsensusMessage.Accepted;
import umberrun.consensus.ConsensusMessage.Prepare;
import umberrun.consensus.ConsensusMessage.Promised;
import umberrun.consensus.ConsensusMessage.Read;
import umberrun.consensus.ConsensusMessage.ReadResult;
import umberrun.consensus.ConsensusMessage.Refused;

/**
 * One voter's memory of all registers (an acceptor of CASPaxos). Free of I/O: whoever carries it
 * writes what {@link #handle} changed, and syncs, <em>before</em> the answer leaves; after a crash
 * it begins with what was synced.
 */
public class Voter {
  /** What is remembered of a register. */
  public record Slot(Ballot promised, Ballot accepted, RegisterValue value) {
    static final Slot NONE = new Slot(Ballot.NONE, Ballot.NONE, RegisterValue.NONE);

    @Override
    public String toString() {
      return promised + " " + accepted + " " + value;
    }
  }

  /**
   * An answer, and what must be on disk, with all before it, before it leaves; {@code slot} null
   * where nothing has changed.
   */
  public record VoteResult(ConsensusMessage answer, String register, Slot slot) {}

  private final Map<String, Slot> slots;
  private final int most;

  /**
   * @param synced what was on disk
   * @param most registers: a vote on a further one is refused
   */
  public Voter(Map<String, Slot> synced, int most) {
    this.slots = new TreeMap<>(synced);
    this.most = most;
  }

  /** Answers a proposer. Null where it is not answered: a register too many, a value too long. */
  public VoteResult handle(ConsensusMessage m) {
    if (m instanceof Read l) {
      Slot s = slots.getOrDefault(l.register(), Slot.NONE);
      return new VoteResult(new ReadResult(l.op(), s.accepted, s.value), l.register(), null);
    }
    if (m instanceof Prepare p) {
      Slot s = slots.getOrDefault(p.register(), Slot.NONE);
      if (p.ballot().compareTo(s.promised) <= 0) {
        return new VoteResult(new Refused(p.op(), s.promised), p.register(), null);
      }
      return store(
          p.register(),
          new Slot(p.ballot(), s.accepted, s.value),
          new Promised(p.op(), s.accepted, s.value));
    }
    if (m instanceof Accept a && a.value().isShort()) {
      Slot s = slots.getOrDefault(a.register(), Slot.NONE);
      if (a.ballot().compareTo(s.promised) < 0) {
        return new VoteResult(new Refused(a.op(), s.promised), a.register(), null);
      }
      return store(a.register(), new Slot(a.ballot(), a.ballot(), a.value()), new Accepted(a.op()));
    }
    return null;
  }

  private VoteResult store(String register, Slot slot, ConsensusMessage answer) {
    if (!slots.containsKey(register) && slots.size() >= most) {
      return null;
    }
    slots.put(register, slot);
    return new VoteResult(answer, register, slot);
  }

  /** All that it remembers. */
  public Map<String, Slot> slots() {
    return Collections.unmodifiableMap(slots);
  }
}
