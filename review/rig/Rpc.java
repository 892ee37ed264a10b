import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** The platform's MessagePack-RPC, as far as these clients need it. */
final class Rpc {
  /** An answer: its id, whether it is an error, and the length of the served body. */
  record Answer(long id, String error, int bodyBytes) {}

  private Rpc() {}

  static byte[] call(int id, String callClass, Map<String, String> fields, byte[] body) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.write(0x94);
    out.write(0);
    out.write(0xcd);
    out.write(id >> 8);
    out.write(id);
    text(out, callClass);
    out.write(0x92);
    out.write(0x80 | fields.size());
    fields.forEach(
        (name, value) -> {
          text(out, name);
          text(out, value);
        });
    out.write(0xc5);
    out.write(body.length >> 8);
    out.write(body.length);
    out.writeBytes(body);
    return out.toByteArray();
  }

  private static void text(ByteArrayOutputStream out, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    out.write(0xd9);
    out.write(bytes.length);
    out.writeBytes(bytes);
  }

  /** Reads one whole answer. */
  static Answer read(DataInputStream in) throws IOException {
    expect(in.read() == 0x94 && in.read() == 1);
    long id = number(in);
    int next = in.readUnsignedByte();
    if (next == 0xc0) {
      expect(in.readUnsignedByte() == 0x92);
      int length = skip(in, in.readUnsignedByte());
      skip(in, in.readUnsignedByte());
      return new Answer(id, null, length);
    }
    expect(next == 0x92);
    String error = string(in, in.readUnsignedByte());
    skip(in, in.readUnsignedByte());
    expect(in.readUnsignedByte() == 0xc0);
    return new Answer(id, error, 0);
  }

  private static void expect(boolean right) throws IOException {
    if (!right) {
      throw new EOFException("not a whole answer");
    }
  }

  private static long number(DataInputStream in) throws IOException {
    int code = in.readUnsignedByte();
    return switch (code) {
      case 0xcc -> in.readUnsignedByte();
      case 0xcd -> in.readUnsignedShort();
      case 0xce -> in.readInt() & 0xffffffffL;
      case 0xcf -> in.readLong();
      default -> code;
    };
  }

  private static String string(DataInputStream in, int code) throws IOException {
    int length =
        code >> 5 == 5 ? code & 31 : code == 0xd9 ? in.readUnsignedByte() : in.readUnsignedShort();
    byte[] bytes = new byte[length];
    in.readFully(bytes);
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }

  /** Skips a value: text, bytes, nil, a bool, or a map of such; returns the length of bytes. */
  private static int skip(DataInputStream in, int code) throws IOException {
    if (code >> 4 == 8) {
      for (int i = 0; i < 2 * (code & 15); i++) {
        skip(in, in.readUnsignedByte());
      }
      return 0;
    }
    int length =
        switch (code) {
          case 0xc4, 0xd9 -> in.readUnsignedByte();
          case 0xc5, 0xda -> in.readUnsignedShort();
          case 0xc6, 0xdb -> in.readInt();
          case 0xc0, 0xc2, 0xc3 -> 0;
          default -> code >> 5 == 5 ? code & 31 : -1;
        };
    expect(length >= 0);
    in.readFully(new byte[length]);
    return length;
  }
}
