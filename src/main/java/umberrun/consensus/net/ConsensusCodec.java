package umberrun.consensus.net;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import umberrun.consensus.Ballot;
import umberrun.consensus.ConsensusMessage;
import umberrun.consensus.ConsensusMessage.*;
import umberrun.consensus.RegisterValue;
import umberrun.consensus.VoterSet;

/**
 * The bytes of the agreement's messages: an array of MessagePack, to which later versions add at
 * the end.
 */
final class ConsensusCodec {
  /**
   * A message on its way.
   *
   * @param asker who in the asking process wants the answer; the process is named by {@code life}
   * @param voter the key that is asked or answers; empty for a front end's own answer
   */
  record Envelope(
      boolean answer, long epoch, String voter, long life, int asker, ConsensusMessage message) {}

  private static final List<Class<? extends ConsensusMessage>> KINDS =
      List.of(
          Read.class,
          ReadResult.class,
          Prepare.class,
          Promised.class,
          Accept.class,
          Accepted.class,
          Refused.class,
          Install.class,
          Installed.class,
          Outdated.class,
          UnknownEpoch.class,
          ListRegisters.class,
          RegisterNames.class,
          VoterQuery.class,
          VoterDescription.class);
  private static final int FIELDS = 7;
  private static final int MOST_NAMES = 4_096;
  private static final int MOST_TEXT = 128;
  private static final int MOST_SET = 2_048;

  private ConsensusCodec() {}

  static byte[] write(Envelope e) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      ConsensusMessage m = e.message;
      out.packArrayHeader(FIELDS)
          .packBoolean(e.answer)
          .packLong(e.epoch)
          .packString(e.voter)
          .packLong(e.life)
          .packInt(e.asker)
          .packInt(KINDS.indexOf(m.getClass()));
      body(out, m);
      return out.toByteArray();
    } catch (IOException x) {
      throw new IllegalStateException(x); // a buffer in memory
    }
  }

  private static void body(MessagePacker out, ConsensusMessage m) throws IOException {
    out.packArrayHeader(4).packLong(m.op());
    if (m instanceof Read l) {
      out.packString(l.register()).packNil().packNil();
    } else if (m instanceof ReadResult l) {
      held(out, l.accepted(), l.value());
    } else if (m instanceof Prepare p) {
      ballot(out.packString(p.register()), p.ballot()).packNil();
    } else if (m instanceof Promised p) {
      held(out, p.accepted(), p.value());
    } else if (m instanceof Accept a) {
      value(ballot(out.packString(a.register()), a.ballot()), a.value());
    } else if (m instanceof Refused r) {
      ballot(out, r.promised()).packNil().packNil();
    } else if (m instanceof Install i) {
      out.packString(i.voters().text()).packNil().packNil();
    } else if (m instanceof Outdated o) {
      out.packString(o.voters().text()).packNil().packNil();
    } else if (m instanceof RegisterNames n) {
      names(out, n.names()).packNil().packNil();
    } else if (m instanceof VoterQuery a) {
      names(out.packBoolean(a.make()).packString(a.asOf().text()), a.names());
    } else if (m instanceof VoterDescription s) {
      out.packString(s.key()).packString(s.known().text()).packString(s.fault());
    } else {
      out.packNil().packNil().packNil();
    }
  }

  private static MessagePacker names(MessagePacker out, List<String> names) throws IOException {
    out.packArrayHeader(names.size());
    for (String n : names) {
      out.packString(n);
    }
    return out;
  }

  private static void held(MessagePacker out, Ballot b, RegisterValue v) throws IOException {
    value(ballot(out, b), v).packNil();
  }

  private static MessagePacker ballot(MessagePacker out, Ballot b) throws IOException {
    out.packArrayHeader(2).packLong(b.round()).packString(b.proposer());
    return out;
  }

  private static MessagePacker value(MessagePacker out, RegisterValue v) throws IOException {
    out.packArrayHeader(2).packLong(v.version()).packString(v.text());
    return out;
  }

  /** Reads a message; fails with {@link IllegalArgumentException} where it can't be one. */
  static Envelope read(byte[] bytes) {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      require(in.unpackArrayHeader() >= FIELDS);
      boolean answer = in.unpackBoolean();
      long epoch = in.unpackLong();
      String voter = text(in, MOST_TEXT);
      long life = in.unpackLong();
      int asker = in.unpackInt();
      int kind = in.unpackInt();
      require(kind >= 0 && kind < KINDS.size() && epoch >= 0);
      return new Envelope(answer, epoch, voter, life, asker, message(in, KINDS.get(kind)));
    } catch (IOException | MessagePackException e) {
      throw new IllegalArgumentException(e.toString(), e);
    }
  }

  private static ConsensusMessage message(
      MessageUnpacker in, Class<? extends ConsensusMessage> kind) throws IOException {
    require(in.unpackArrayHeader() == 4);
    long op = in.unpackLong();
    if (kind == Read.class) {
      return new Read(op, register(in));
    } else if (kind == ReadResult.class) {
      return new ReadResult(op, ballot(in), value(in));
    } else if (kind == Prepare.class) {
      return new Prepare(op, register(in), ballot(in));
    } else if (kind == Promised.class) {
      return new Promised(op, ballot(in), value(in));
    } else if (kind == Accept.class) {
      return new Accept(op, register(in), ballot(in), value(in));
    } else if (kind == Accepted.class) {
      return new Accepted(op);
    } else if (kind == Refused.class) {
      return new Refused(op, ballot(in));
    } else if (kind == Install.class) {
      return new Install(op, VoterSet.parse(text(in, MOST_SET)));
    } else if (kind == Installed.class) {
      return new Installed(op);
    } else if (kind == Outdated.class) {
      return new Outdated(op, VoterSet.parse(text(in, MOST_SET)));
    } else if (kind == UnknownEpoch.class) {
      return new UnknownEpoch(op);
    } else if (kind == ListRegisters.class) {
      return new ListRegisters(op);
    } else if (kind == RegisterNames.class) {
      return new RegisterNames(op, names(in));
    } else if (kind == VoterQuery.class) {
      return new VoterQuery(op, in.unpackBoolean(), VoterSet.parse(text(in, MOST_SET)), names(in));
    }
    return new VoterDescription(
        op, text(in, MOST_TEXT), VoterSet.parse(text(in, MOST_SET)), text(in, MOST_SET));
  }

  /** Guards the memory of voters: a name is bounded, and none is the folder's own slot. */
  private static String register(MessageUnpacker in) throws IOException {
    String name = text(in, MOST_TEXT);
    require(!name.isEmpty());
    return name;
  }

  private static List<String> names(MessageUnpacker in) throws IOException {
    int n = in.unpackArrayHeader();
    require(n <= MOST_NAMES);
    List<String> names = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      names.add(text(in, MOST_TEXT));
    }
    return names;
  }

  private static Ballot ballot(MessageUnpacker in) throws IOException {
    require(in.unpackArrayHeader() == 2);
    return new Ballot(in.unpackLong(), text(in, MOST_TEXT));
  }

  private static RegisterValue value(MessageUnpacker in) throws IOException {
    require(in.unpackArrayHeader() == 2);
    return new RegisterValue(in.unpackLong(), text(in, RegisterValue.MAX_BYTES));
  }

  private static String text(MessageUnpacker in, int most) throws IOException {
    String s = in.unpackString();
    require(s.length() <= most);
    return s;
  }

  private static void require(boolean holds) {
    if (!holds) {
      throw new IllegalArgumentException("figures that can't be");
    }
  }
}
