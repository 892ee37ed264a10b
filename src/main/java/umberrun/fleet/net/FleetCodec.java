package umberrun.fleet.net;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import umberrun.fleet.About;
import umberrun.fleet.Claim;
import umberrun.fleet.GossipMessage;
import umberrun.fleet.ProcessGeneration;

/**
 * The bytes of datagrams and frames: arrays of MessagePack, to which later versions add at the end.
 * What is beyond the fields known here is passed over.
 */
public final class FleetCodec {
  /** Bytes that can't be used; the message says why. */
  public static final class UndecodableException extends Exception {
    private static final long serialVersionUID = 1;

    /** Whether they are of another fleet or version, and not wrong. */
    public final boolean foreign;

    UndecodableException(String message, boolean foreign) {
      super(message, null, false, false);
      this.foreign = foreign;
    }
  }

  /** A piece of a full exchange, or an operator's call and its answer. */
  public record Frame(Kind kind, boolean last, List<Claim> claims, String text) {
    /** What a frame is for. CALL is an operator's call of a part that uses the fleet's listener. */
    public enum Kind {
      SYNC,
      VIEW,
      LEAVE,
      CALL
    }
  }

  /**
   * What one member sends another for a part that uses the fleet's listener.
   *
   * @param topic the part
   * @param to its name: whoever has the address now may be another
   * @param address where the sender hears answers
   */
  public record TopicMessage(String topic, String to, String from, String address, byte[] body) {}

  public static final int MAX_DATAGRAM_BYTES = 1_400;
  public static final int MAX_FRAME_BYTES = 80 << 10;

  /** Claims in a frame: a claim is shorter than 512 bytes, as the names in it are bounded. */
  static final int CLAIMS_A_FRAME = 100;

  /** Characters in a name or address. */
  public static final int MAX_TEXT_LENGTH = 64;

  private static final int VERSION = 1;
  private static final int CLAIM_FIELDS = 8;
  private static final int ABOUT_FIELDS = 8;
  private static final int DATAGRAM_FIELDS = 8;
  private static final int FRAME_FIELDS = 6;
  private static final int PARCEL_FIELDS = 8;

  /** Where a message and a frame have their kind. */
  private static final int PARCEL = 64;

  private static final int MOST_CLAIMS = 256;

  /** Guards the arithmetic of lives and incarnations against a liar. */
  private static final long MOST_NUMBER = 1L << 52;

  private static final int MOST_LIFE = 1 << 30;

  private final String fleet;

  /**
   * @param fleet its name; empty for an operator, who calls any fleet, but takes part in none
   */
  public FleetCodec(String fleet) {
    this.fleet = fleet;
  }

  // ---------------------------------------------------------------- out

  /** A datagram; news that do not fit are left out, and come again by their next turn. */
  public byte[] encode(GossipMessage m) {
    int news = m.news().size();
    byte[] bytes = encode(m, news);
    while (bytes.length > MAX_DATAGRAM_BYTES && news > 0) {
      bytes = encode(m, --news);
    }
    return bytes;
  }

  private byte[] encode(GossipMessage m, int news) {
    try (MessageBufferPacker out = head(DATAGRAM_FIELDS)) {
      out.packByte((byte) m.kind().ordinal())
          .packLong(m.seq())
          .packString(m.target())
          .packString(m.address());
      pack(out, m.from());
      pack(out, m.news().subList(0, news));
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException(e); // a buffer in memory
    }
  }

  /** A frame's content. */
  public byte[] encode(Frame f) {
    try (MessageBufferPacker out = head(FRAME_FIELDS)) {
      out.packByte((byte) f.kind.ordinal()).packBoolean(f.last);
      pack(out, f.claims);
      out.packString(f.text);
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException(e); // a buffer in memory
    }
  }

  /** A datagram's or frame's content. */
  public byte[] encode(TopicMessage p) {
    try (MessageBufferPacker out = head(PARCEL_FIELDS)) {
      out.packInt(PARCEL)
          .packString(p.topic)
          .packString(p.to)
          .packString(p.from)
          .packString(p.address)
          .packBinaryHeader(p.body.length)
          .writePayload(p.body);
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException(e); // a buffer in memory
    }
  }

  private MessageBufferPacker head(int fields) throws IOException {
    MessageBufferPacker out = MessagePack.newDefaultBufferPacker();
    out.packArrayHeader(fields).packByte((byte) VERSION).packString(fleet);
    return out;
  }

  private static void pack(MessageBufferPacker out, List<Claim> claims) throws IOException {
    out.packArrayHeader(claims.size());
    for (Claim c : claims) {
      pack(out, c);
    }
  }

  private static void pack(MessageBufferPacker out, Claim c) throws IOException {
    out.packArrayHeader(CLAIM_FIELDS)
        .packString(c.name())
        .packInt(c.life().number())
        .packLong(c.life().startId())
        .packLong(c.incarnation())
        .packByte((byte) c.status().ordinal())
        .packString(c.accuser())
        .packLong(c.age());
    About a = c.about();
    if (a == null) {
      out.packNil();
    } else {
      out.packArrayHeader(ABOUT_FIELDS)
          .packString(a.hall())
          .packString(a.address())
          .packByte((byte) a.state().ordinal())
          .packString(a.learning())
          .packString(a.door())
          .packString(a.release())
          .packInt(a.traffic())
          .packBoolean(a.informed());
    }
  }

  // ---------------------------------------------------------------- in

  public GossipMessage decodeMessage(byte[] bytes) throws UndecodableException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      int extra = extra(in.unpackArrayHeader(), DATAGRAM_FIELDS);
      known(in, false);
      GossipMessage.Kind kind = one(GossipMessage.Kind.values(), in.unpackInt());
      GossipMessage m =
          new GossipMessage(kind, in.unpackLong(), text(in), text(in), claim(in), claims(in));
      if (m.from().about() == null) {
        throw new UndecodableException("a sender that says nothing of itself", false);
      }
      in.skipValue(extra);
      return m;
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      throw new UndecodableException(e.toString(), false);
    }
  }

  public Frame decodeFrame(byte[] bytes) throws UndecodableException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      int extra = extra(in.unpackArrayHeader(), FRAME_FIELDS);
      boolean member = known(in, true);
      Frame f =
          new Frame(
              one(Frame.Kind.values(), in.unpackInt()),
              in.unpackBoolean(),
              claims(in),
              in.unpackString());
      in.skipValue(extra);
      if (!member && f.kind == Frame.Kind.SYNC) {
        throw new UndecodableException("an exchange of no fleet", true);
      }
      return f;
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      throw new UndecodableException(e.toString(), false);
    }
  }

  /** A parcel, or null where the bytes are something else. */
  public TopicMessage decodeTopicMessage(byte[] bytes) throws UndecodableException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      int fields = in.unpackArrayHeader();
      known(in, true);
      if (in.unpackInt() != PARCEL) {
        return null;
      }
      int extra = extra(fields, PARCEL_FIELDS);
      TopicMessage p =
          new TopicMessage(
              text(in), text(in), text(in), text(in), in.readPayload(in.unpackBinaryHeader()));
      in.skipValue(extra);
      return p;
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      throw new UndecodableException(e.toString(), false);
    }
  }

  /** Whether a member wrote it; an operator may have where that is allowed. */
  private boolean known(MessageUnpacker in, boolean operators)
      throws IOException, UndecodableException {
    int version = in.unpackInt();
    if (version != VERSION) {
      throw new UndecodableException("version " + version, true);
    }
    String of = text(in);
    if (!of.equals(fleet) && !(operators && (of.isEmpty() || fleet.isEmpty()))) {
      throw new UndecodableException("fleet " + of, true);
    }
    return !of.isEmpty();
  }

  private static int extra(int fields, int needed) {
    require(fields >= needed, "too few fields");
    return fields - needed;
  }

  private static List<Claim> claims(MessageUnpacker in) throws IOException {
    int n = in.unpackArrayHeader();
    require(n <= MOST_CLAIMS, "too many claims");
    List<Claim> claims = new ArrayList<>(n);
    for (int i = 0; i < n; i++) {
      claims.add(claim(in));
    }
    return claims;
  }

  private static Claim claim(MessageUnpacker in) throws IOException {
    int extra = extra(in.unpackArrayHeader(), CLAIM_FIELDS);
    String name = text(in);
    int life = in.unpackInt();
    long startId = in.unpackLong();
    long incarnation = in.unpackLong();
    Claim.Status status = one(Claim.Status.values(), in.unpackInt());
    String accuser = text(in);
    long age = in.unpackLong();
    require(
        !name.isEmpty()
            && life > 0
            && life < MOST_LIFE
            && incarnation >= 0
            && incarnation < MOST_NUMBER
            && age >= 0
            && age < MOST_NUMBER,
        "figures that can't be");
    Claim c =
        new Claim(
            name,
            new ProcessGeneration(life, startId),
            incarnation,
            status,
            in.tryUnpackNil() ? null : about(in),
            accuser,
            age);
    in.skipValue(extra);
    return c;
  }

  private static About about(MessageUnpacker in) throws IOException {
    int extra = extra(in.unpackArrayHeader(), ABOUT_FIELDS);
    About a =
        new About(
            text(in),
            text(in),
            one(About.State.values(), in.unpackInt()),
            text(in),
            text(in),
            text(in),
            in.unpackInt(),
            in.unpackBoolean());
    in.skipValue(extra);
    return a;
  }

  private static String text(MessageUnpacker in) throws IOException {
    String s = in.unpackString();
    require(s.length() <= MAX_TEXT_LENGTH, "a text too long");
    return s;
  }

  private static <E> E one(E[] all, int i) {
    require(i >= 0 && i < all.length, "no such word");
    return all[i];
  }

  private static void require(boolean holds, String otherwise) {
    if (!holds) {
      throw new IllegalArgumentException(otherwise);
    }
  }
}
