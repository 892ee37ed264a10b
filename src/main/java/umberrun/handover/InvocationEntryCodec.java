package umberrun.handover;

import io.vertx.core.buffer.Buffer;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import umberrun.core.CallFingerprint;
import umberrun.core.InvocationEntry;
import umberrun.core.InvocationEntry.Accepted;
import umberrun.core.InvocationEntry.Deleted;
import umberrun.core.InvocationEntry.Ended;
import umberrun.core.InvocationEntry.Joined;
import umberrun.core.Result;

/** The binary form of the entries of the invocation journal. */
final class InvocationEntryCodec {
  private static final int ACCEPTED = 1;
  private static final int JOINED = 2;
  private static final int ENDED = 3;
  private static final int DELETED = 4;

  private static final int SERVED = 1;
  private static final int REFUSED = 2;
  private static final int FAILED = 3;
  private static final int DROPPED = 4;
  private static final int CANCELLED = 5;

  private InvocationEntryCodec() {}

  static byte[] encode(InvocationEntry entry) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try {
      write(new DataOutputStream(bytes), entry);
    } catch (IOException e) {
      // An array takes all that is written to it.
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  private static void write(DataOutputStream out, InvocationEntry entry) throws IOException {
    if (entry instanceof Accepted accepted) {
      out.writeByte(ACCEPTED);
      out.writeUTF(accepted.id());
      out.writeBoolean(accepted.collectable());
      out.writeLong(accepted.deadline());
      out.writeUTF(accepted.process());
      out.writeBoolean(accepted.scopedKey() != null);
      if (accepted.scopedKey() != null) {
        out.writeUTF(accepted.scopedKey());
        out.writeInt(accepted.fingerprint().callClass());
        out.writeLong(accepted.fingerprint().function());
        out.writeUTF(accepted.fingerprint().bodyDigest());
      }
    } else if (entry instanceof Joined joined) {
      out.writeByte(JOINED);
      out.writeUTF(joined.id());
      out.writeBoolean(joined.collectable());
    } else if (entry instanceof Ended ended) {
      out.writeByte(ENDED);
      out.writeUTF(ended.id());
      out.writeLong(ended.endedAt());
      writeResult(out, ended.result());
    } else {
      out.writeByte(DELETED);
      out.writeUTF(entry.id());
    }
  }

  private static void writeResult(DataOutputStream out, Result result) throws IOException {
    if (result instanceof Result.Served served) {
      out.writeByte(SERVED);
      out.writeInt(served.body().length());
      out.write(served.body().getBytes());
    } else if (result instanceof Result.Refused refused) {
      out.writeByte(REFUSED);
      out.writeLong(refused.backoffMillis());
      out.writeBoolean(refused.overloaded());
    } else if (result instanceof Result.Failed failed) {
      out.writeByte(FAILED);
      out.writeBoolean(failed.timedOut());
    } else {
      out.writeByte(result instanceof Result.Dropped ? DROPPED : CANCELLED);
    }
  }

  /**
   * Decodes an entry.
   *
   * @throws IOException if the bytes are not an entry
   */
  static InvocationEntry decode(byte[] bytes) throws IOException {
    DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
    int type = in.readUnsignedByte();
    String id = in.readUTF();
    return switch (type) {
      case ACCEPTED -> readAccepted(id, in);
      case JOINED -> new Joined(id, in.readBoolean());
      case ENDED -> new Ended(id, in.readLong(), readResult(in));
      case DELETED -> new Deleted(id);
      default -> throw new IOException("unknown entry type " + type);
    };
  }

  private static Accepted readAccepted(String id, DataInputStream in) throws IOException {
    boolean collectable = in.readBoolean();
    long deadline = in.readLong();
    String process = in.readUTF();
    if (!in.readBoolean()) {
      return new Accepted(id, null, null, collectable, deadline, process);
    }
    String scopedKey = in.readUTF();
    CallFingerprint fingerprint = new CallFingerprint(in.readInt(), in.readLong(), in.readUTF());
    return new Accepted(id, scopedKey, fingerprint, collectable, deadline, process);
  }

  private static Result readResult(DataInputStream in) throws IOException {
    int type = in.readUnsignedByte();
    return switch (type) {
      case SERVED -> new Result.Served(Buffer.buffer(in.readNBytes(in.readInt())));
      case REFUSED -> new Result.Refused(in.readLong(), in.readBoolean());
      case FAILED -> new Result.Failed(in.readBoolean());
      case DROPPED -> new Result.Dropped();
      case CANCELLED -> new Result.Cancelled();
      default -> throw new IOException("unknown result type " + type);
    };
  }
}
